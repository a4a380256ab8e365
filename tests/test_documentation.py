"""The pages agree with the repository: files, commands, options, tests, log lines and diagrams exist."""

import argparse
import re
from pathlib import Path

import pytest

from gullhold.__main__ import EARLIER_COMMAND_NAMES, EARLIER_FLEET_SUBJECTS, build_parser

ROOT = Path(__file__).resolve().parent.parent
PAGES = [
    ROOT / "README.md",
    ROOT / "docs/architecture.md",
    ROOT / "docs/glossary.md",
    ROOT / "docs/on-call.md",
    *sorted((ROOT / "docs/notes").glob("*.md")),
    *sorted((ROOT / "docs/operators").glob("*.md")),
]
COMMAND_PAGES = [ROOT / "README.md", *sorted((ROOT / "docs/operators").glob("*.md"))]
FOLDERS = ("gullhold", "tests", "benchmarks", "deploy", "docs", "journal")
FILE_ENDING = re.compile(r"\.(py|md|cue|toml|txt|lark|j2|c)$")
# Files in the pages' examples that users or the program create.
EXAMPLE_FILES = {"small.txt", "policy.json", "FILE"}
MAX_ARCHITECTURE_LINES = 150
GLOSSARY_COLUMNS = 4
GLOSSARY_TITLE = "term in the code"
DIAGRAM = re.compile(r"```mermaid\n(.*?)```", re.DOTALL)


def texts_in_backticks(text: str) -> set[str]:
    """Return the texts in backticks within one line, leaving out fenced blocks."""
    without_blocks = re.sub(r"^```.*?^```", "", text, flags=re.DOTALL | re.MULTILINE)
    return set(re.findall(r"`([^`\n]+)`", without_blocks))


def looks_like_a_file(name: str) -> bool:
    """Return whether a text in backticks names a file or a folder of the repository."""
    if re.search(r"[\s*<>{}]|\.\.\.|://", name) or name.startswith(("/", "-", "~")):
        return False
    path = name.split("::", maxsplit=1)[0]
    if path.split("/", maxsplit=1)[0] in FOLDERS and "/" in path:
        return True
    return bool(FILE_ENDING.search(path)) and path not in EXAMPLE_FILES


def exists(name: str) -> bool:
    """Return whether a file exists relative to the root, the package or the tests."""
    path = name.split("::", maxsplit=1)[0]
    return any((base / path).exists() for base in (ROOT, ROOT / "gullhold", ROOT / "tests"))


def links(text: str) -> set[str]:
    """Return the targets of links within the repository, without their anchors."""
    targets = {target.split("#")[0] for target in re.findall(r"\]\(([^)\s]+)\)", text)}
    return {target for target in targets if target and "://" not in target}


def headings(text: str) -> set[str]:
    """Return the anchors of a page's headings."""
    titles = re.findall(r"^#+ (.+)$", text, re.MULTILINE)
    return {re.sub(r"[^\w\- ]", "", title.lower()).replace(" ", "-") for title in titles}


def subcommands() -> dict[str, argparse.ArgumentParser]:
    """Return the parser of each sub-command."""
    parser = build_parser()
    (commands,) = (a for a in parser._actions if isinstance(a, argparse._SubParsersAction))
    return dict(commands.choices)


def named_commands(text: str) -> list[tuple[str, str]]:
    """Return each `gullhold SUBCOMMAND ...` of a page: the sub-command and the text after it.

    In a block of examples, a line that is indented by 20 spaces or more continues the command above it.
    """
    joined = re.sub(r"\n {20,}", " ", text)
    found = re.findall(r"`gullhold ([^`\n]+)`", joined)
    found += re.findall(r"^    (?:.*-m )?gullhold ([^#\n]+)", joined, re.MULTILINE)
    found = [command.replace("\\|", "|") for command in found]
    return [(words[0], " ".join(words[1:])) for words in (command.split() for command in found) if words]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_files_that_a_page_names_exist(page: Path):
    text = page.read_text()
    missing = sorted(
        name for name in texts_in_backticks(text) if looks_like_a_file(name) and not exists(name)
    )
    assert missing == []
    dead = sorted(target for target in links(text) if not (page.parent / target).exists())
    assert dead == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_anchors_that_a_page_links_to_exist(page: Path):
    for target, anchor in re.findall(r"\]\(([^)\s#]*)#([^)\s]+)\)", page.read_text()):
        if "://" in target:
            continue
        other = page.parent / target if target else page
        assert anchor in headings(other.read_text()), f"{page}: {target}#{anchor} links to no heading"


@pytest.mark.parametrize("page", COMMAND_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_commands_and_options_that_a_page_names_exist(page: Path):
    parsers = subcommands()
    commands = named_commands(page.read_text())
    for name, rest in commands:
        assert name in parsers, f"gullhold {name}: no such command"
        assert name not in EARLIER_COMMAND_NAMES, f"gullhold {name}: an earlier name of a command"
        known = parsers[name]._option_string_actions
        unknown = [option for option in re.findall(r"--[a-z][a-z-]*", rest) if option not in known]
        assert unknown == [], f"gullhold {name} {rest}: no options {unknown}"
        _check_choices(parsers[name], name, rest)


def _check_choices(parser: argparse.ArgumentParser, name: str, rest: str) -> None:
    """Check alternatives such as `a|b|c` after a command against the choices of its first argument."""
    choices = next((a.choices for a in parser._actions if not a.option_strings and a.choices), None)
    if choices and rest and not rest.startswith("-"):
        named = rest.split(maxsplit=1)[0].split("|")
        assert set(named) <= set(choices) - set(EARLIER_FLEET_SUBJECTS), (
            f"gullhold {name} {rest}: choices are {sorted(set(choices) - set(EARLIER_FLEET_SUBJECTS))}"
        )


@pytest.mark.parametrize("page", COMMAND_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_options_in_backticks_are_options_of_some_command(page: Path):
    known = {option for parser in subcommands().values() for option in parser._option_string_actions}
    known |= {
        "--quick",  # of the benchmarks
        "--why",  # of `gullhold policy` and of the operators' own tools
    }
    named = {
        o for text in texts_in_backticks(page.read_text()) if text.startswith("--") for o in [text.split()[0]]
    }
    assert sorted(named - known) == []


def test_the_patterns_find_commands_and_files():
    """Guards against patterns that match nothing, with which the checks above pass for any page."""
    named = {name for page in COMMAND_PAGES for name, _ in named_commands(page.read_text())}
    assert named >= {"demo", "serve", "config", "store", "fleet", "policy", "simulate", "check", "version"}
    files = {
        name for page in PAGES for name in texts_in_backticks(page.read_text()) if looks_like_a_file(name)
    }
    assert len(files) > 100


def test_tests_named_in_the_table_of_crossing_events_exist_once():
    names = [name for file in (ROOT / "tests").rglob("test_*.py") for name in _test_functions(file)]
    text = (ROOT / "docs/notes/crossings.md").read_text()
    parts = [part.strip(".") for part in texts_in_backticks(text) if part.count("_") > 1 and "/" not in part]
    assert len(parts) > 40
    for part in parts:
        assert len([name for name in names if part in name]) == 1, f"not exactly one test is named *{part}*"


def _test_functions(file: Path) -> list[str]:
    return re.findall(r"^def (test_\w+)", file.read_text(), re.MULTILINE)


def test_log_lines_and_counters_of_the_on_call_page_exist_in_the_code():
    """Texts with `...` or a colon are composed at run time: each fragment has to exist."""
    table = on_call_log_section().split("| line or counter |")[1]
    cells = [row.split(" | ")[0] for row in table.splitlines()[2:] if row.startswith("| `")]
    texts = [text for cell in cells for text in re.findall(r"`([^`]+)`", cell)]
    assert len(texts) > 50
    assert missing_in_the_code(texts) == []


def test_new_names_in_the_tables_of_earlier_names_exist_in_the_code():
    tables = on_call_log_section().split("### Names of earlier versions")[1].split("### What they mean")[0]
    rows = [row.strip("| ").split(" | ") for row in tables.splitlines() if row.startswith("| `")]
    texts = [text for _, current in rows for text in re.findall(r"`([^`]+)`", current)]
    assert len(texts) > 70
    assert missing_in_the_code(texts) == []


def on_call_log_section() -> str:
    return (ROOT / "docs/on-call.md").read_text().split("## The log and the counters")[1]


def missing_in_the_code(texts: list[str]) -> list[str]:
    """Return the fragments of texts that no module contains.

    `...`, `=` and words in capitals separate fragments: they stand for values that are inserted at run time.
    """
    source = "\n".join(file.read_text() for file in (ROOT / "gullhold").rglob("*.py"))
    fragments = {piece.strip() for text in texts for piece in re.split(r"\.\.\.|: |[A-Z]+|=| (?=\w+=)", text)}
    parts = {piece.removeprefix("peak_") for piece in fragments}
    return sorted(part for part in parts if part and not re.search(rf"\b{re.escape(part)}\b", source))


def test_the_architecture_is_one_page_with_one_diagram_for_each_path():
    text = (ROOT / "docs/architecture.md").read_text()
    assert len(text.splitlines()) <= MAX_ARCHITECTURE_LINES
    for title in ("The way of a request", "The way of a configuration change"):
        section = text.split(f"## {title}\n")[1].split("\n## ")[0]
        assert len(DIAGRAM.findall(section)) == 1, f"{title}: not exactly one diagram"


def test_modules_in_the_diagrams_exist():
    text = (ROOT / "docs/architecture.md").read_text()
    paths = {
        path for diagram in DIAGRAM.findall(text) for path in re.findall(r"\b[a-z_]+/[a-z_]+\b", diagram)
    }
    assert paths
    assert sorted(path for path in paths if not (ROOT / "gullhold" / f"{path}.py").exists()) == []


def glossary_rows() -> list[tuple[str, str]]:
    """Return (term in the code, files where it is used) for each row of the glossary's tables of terms."""
    lines = (ROOT / "docs/glossary.md").read_text().splitlines()
    cells = [line.strip("|").split(" | ") for line in lines if line.startswith("| ")]
    return [(row[2], row[3]) for row in cells if len(row) == GLOSSARY_COLUMNS and row[2] != GLOSSARY_TITLE]


def source_of(path: str) -> str:
    """Return the Python source of a file or a whole folder, relative to the root or the package."""
    place = next(base / path for base in (ROOT, ROOT / "gullhold") if (base / path).exists())
    files = place.rglob("*.py") if place.is_dir() else [place]
    return "\n".join(file.read_text() for file in files)


def test_names_of_the_glossary_exist_in_the_files_that_it_states():
    rows = glossary_rows()
    missing = []
    names_found = 0
    for term, where in rows:
        source = "".join(source_of(path) for path in re.findall(r"`([^`]+)`", where))
        names = [part for name in re.findall(r"`([^`]+?)(?:\(\))?`", term) for part in name.split(".")]
        missing += [(name, where) for name in names if not re.search(rf"\b{re.escape(name)}\b", source)]
        names_found += len(names)
    assert missing == []
    assert len(rows) > 100
    assert names_found > 100


def test_the_glossary_names_all_earlier_commands():
    section = (ROOT / "docs/glossary.md").read_text().split("## Commands\n")[1].split("\n## ")[0]
    for earlier, current in EARLIER_COMMAND_NAMES.items():
        assert re.search(rf"\| `{earlier}`[^|]*\| `{current}`", section), earlier
    for subject in EARLIER_FLEET_SUBJECTS:
        assert f"`fleet {subject}`" in section
