"""The command line: earlier names of commands and options work, but the help does not list them."""

import argparse
import re

import pytest

from gullhold.__main__ import EARLIER_COMMAND_NAMES, build_parser
from gullhold.fleet.show import TABLES

EARLIER_AND_CURRENT = [
    (["try"], ["demo"]),
    (["try", "--seconds", "3", "--seed", "7"], ["demo", "--seconds", "3", "--seed", "7"]),
    (["try", "--door", "on"], ["demo", "--admission-queue", "on"]),
    (["try", "--door", "off"], ["demo", "--admission-queue", "off"]),
    (["try", "--door=both"], ["demo", "--admission-queue=both"]),
    (["register"], ["store"]),
    (
        ["register", "--listen", "127.0.0.1:1", "--store", "f", "--journal", "j", "--fast", "--scripted"],
        ["store", "--listen", "127.0.0.1:1", "--store", "f", "--journal", "j", "--fast", "--scripted"],
    ),
    (["rehearse"], ["simulate"]),
    (
        ["rehearse", "--seeds", "1:3", "--jobs", "2", "--replay", "a", "--shrink", "b"],
        ["simulate", "--seeds", "1:3", "--jobs", "2", "--replay", "a", "--shrink", "b"],
    ),
]


def parsed(words: list[str]) -> dict[str, object]:
    """Parse a command line; return the arguments without the command's name, which must be as typed."""
    arguments = vars(build_parser().parse_args(words))
    assert arguments.pop("command") == words[0]
    return arguments


def help_of(words: list[str], capsys: pytest.CaptureFixture[str]) -> str:
    with pytest.raises(SystemExit) as exit_info:
        build_parser().parse_args([*words, "--help"])
    assert exit_info.value.code == 0
    return capsys.readouterr().out


@pytest.mark.parametrize(("earlier", "current"), EARLIER_AND_CURRENT, ids=" ".join)
def test_an_earlier_name_parses_to_the_same_command(earlier, current):
    assert parsed(earlier) == parsed(current)


def test_all_earlier_command_names_are_covered_by_the_comparison():
    assert {earlier[0] for earlier, _ in EARLIER_AND_CURRENT} == set(EARLIER_COMMAND_NAMES)


def test_an_earlier_option_refuses_what_the_current_one_refuses(capsys):
    for words in (["try", "--door", "ajar"], ["demo", "--admission-queue", "ajar"]):
        with pytest.raises(SystemExit) as exit_info:
            build_parser().parse_args(words)
        assert exit_info.value.code == 2
        assert "invalid choice: 'ajar'" in capsys.readouterr().err


def test_fleet_roles_and_its_earlier_name_print_the_same_rows():
    duties, roles = parsed(["fleet", "duties", "--json"]), parsed(["fleet", "roles", "--json"])
    assert duties.pop("what") == "duties"
    assert roles.pop("what") == "roles"
    assert duties == roles
    assert TABLES["duties"] is TABLES["roles"]


def test_the_help_lists_only_current_names(capsys):
    overview = help_of([], capsys)
    listed = re.findall(r"^    ([a-z]+) ", overview, re.MULTILINE)
    (commands,) = (a for a in build_parser()._actions if isinstance(a, argparse._SubParsersAction))
    assert set(listed) == set(commands.choices) - set(EARLIER_COMMAND_NAMES)
    assert set(listed) >= set(EARLIER_COMMAND_NAMES.values())
    assert "--door" not in help_of(["demo"], capsys)
    assert "duties" not in help_of(["fleet"], capsys)
