"""Files that an earlier version wrote are read by this one (tests/data/README.md)."""

import ast
import base64
import json
import os
import re
import shutil
import socket
import sqlite3
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any, TypeVar

import pytest

ROOT = Path(__file__).parent.parent
STORED = ROOT / "tests" / "data" / "v3c216f7"
PATIENCE_S = 15.0  # until a wait fails: far more than any of these takes
LOOK_S = 0.05
PREFIX = "/gullhold/rig/"
UNKNOWN = 4  # exit status of `gullhold policy status`: what becomes of the change is not known yet
ENVIRONMENT = os.environ | {"PYTHONPATH": str(ROOT)}

Row = dict[str, Any]
Found = TypeVar("Found")


@pytest.fixture
def stored(tmp_path: Path) -> Path:
    """A copy of the stored files, which may be written to."""
    return Path(shutil.copytree(STORED, tmp_path / "stored"))


def free_address() -> str:
    """A loopback address that nobody listens on."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def run(*words: str) -> subprocess.CompletedProcess[str]:
    """One call of the command line, to its end."""
    return subprocess.run(
        [sys.executable, "-m", "gullhold", *words],
        env=ENVIRONMENT,
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
        check=False,
    )


def printed(*words: str) -> str:
    """What one call of the command line prints; it succeeds."""
    ended = run(*words)
    assert ended.returncode == 0, ended.stderr
    return ended.stdout


def until(look: Callable[[], Found], why: Callable[[], str] = lambda: "") -> Found:
    """Look until something is found; it. why: more for the failure."""
    end = time.monotonic() + PATIENCE_S
    while not (found := look()):
        assert time.monotonic() < end, "waited in vain " + why()
        time.sleep(LOOK_S)
    return found


@contextmanager
def started(folder: Path, log: str, *words: str, **environment: str) -> Iterator[subprocess.Popen[bytes]]:
    """A process of the command line in a folder, killed at the end; log: the file that it prints to."""
    with open(folder / log, "wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-m", "gullhold", *words],
            cwd=folder,
            env=ENVIRONMENT | environment,
            stdout=output,
            stderr=output,
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


@contextmanager
def register_on(folder: Path) -> Iterator[str]:
    """A register that serves the stored file in this folder; its address."""
    address = free_address()
    words = ("--listen", address, "--store", "register.db", "--journal", "register.journal")
    with started(folder, "register.log", "register", *words) as process:

        def serves() -> bool:
            assert process.poll() is None, (folder / "register.log").read_text("utf-8")
            return "register on" in (folder / "register.log").read_text("utf-8")

        until(serves)
        yield address


def rows(text: str) -> list[Row]:
    """A JSON object a line."""
    return [json.loads(line) for line in text.splitlines()]


def fields(text: str) -> Row:
    """What `gullhold config --operator` prints: a path and a value a line."""
    return {
        path: ast.literal_eval(value) for path, value in (line.split(": ", 1) for line in text.splitlines())
    }


def records_of(folder: Path) -> list[Row]:
    """The records of the stored register."""
    return json.loads((folder / "register.json").read_text("utf-8"))


def lines_of(folder: Path) -> list[Row]:
    """The lines of the register's journal."""
    return rows((folder / "register.journal").read_text("utf-8"))


# Operator files, configurations, policies, scripts


@pytest.mark.parametrize("name", sorted(path.stem for path in (STORED / "operator").glob("*.cue")))
def test_an_operator_file_says_what_it_said(stored: Path, name: str) -> None:
    path = stored / "operator" / f"{name}.cue"
    expected = fields(path.with_suffix(".printed").read_text("utf-8"))
    found = fields(printed("config", "--operator", str(path)))
    assert {field: found.get(field, "missing") for field in expected} == expected


def test_a_configuration_says_what_it_said(stored: Path) -> None:
    path = stored / "fleet" / "n0.json"
    expected = path.with_suffix(".printed").read_text("utf-8")
    found = printed("config", "--config", str(path))
    assert found.splitlines()[0] == expected.splitlines()[0]
    for word in ("name='read'", "name='mark'", "name='once'", "3000000", "65536.0"):
        assert word in expected
        assert word in found


@pytest.mark.parametrize("name, settings", [("first", 2), ("refused", 1), ("second", 3), ("open", 1)])
def test_a_policy_is_read(stored: Path, name: str, settings: int) -> None:
    assert printed("policy", "check", str(stored / "policies" / f"{name}.cue")).startswith(
        f"{settings} settings"
    )


@pytest.mark.parametrize("name", ["whole", "small"])
def test_a_rehearsal_script_is_played(stored: Path, name: str) -> None:
    path = stored / "rehearsal" / f"{name}.txt"
    kinds = {json.loads(line)["kind"] for line in path.read_text("utf-8").splitlines() if line[0] != "#"}
    table = printed("rehearse", "--seeds", "1", "--replay", str(path))
    met = {kind for kind, scripts in re.findall(r"│ ([a-z ]+?) +│ (\d+) +│", table) if scripts == "1"}
    assert met == kinds
    assert kinds


# The register


def test_the_register_tells_what_it_kept(stored: Path) -> None:
    folder = stored / "fleet"
    with register_on(folder) as address:
        where = ("--register", address, "--name", "rig")
        for what in ("members", "duties", "history", "budgets"):
            expected = rows((folder / f"{what}.printed").read_text("utf-8"))
            assert rows(printed("fleet", what, "--json", *where)) == expected
            assert expected
        expected = rows((folder / "policies.printed").read_text("utf-8"))
        assert rows(printed("policy", "history", "--json", *where)) == expected
        assert [row["outcome"] for row in expected] == ["decided", "dropped", "decided"]
        status = run("policy", "status", *where)
        assert status.returncode == UNKNOWN
        assert status.stdout == (folder / "status.printed").read_text("utf-8")
        difference = printed("policy", "diff", str(stored / "policies" / "open.cue"), *where)
        assert difference == (folder / "difference.printed").read_text("utf-8")


def test_the_register_serves_the_records_that_it_kept(stored: Path) -> None:
    folder = stored / "fleet"
    start, end = PREFIX.encode(), PREFIX[:-1].encode() + b"0"  # "0" follows "/"
    asked = {"key": base64.b64encode(start).decode(), "range_end": base64.b64encode(end).decode()}
    with register_on(folder) as address:
        request = urllib.request.Request(
            f"http://{address}/v3/kv/range", json.dumps(asked).encode(), {"Content-Type": "application/json"}
        )
        with urllib.request.urlopen(request, timeout=PATIENCE_S) as reply:
            told = json.load(reply)
    found = [
        {
            "key": base64.b64decode(item["key"]).decode(),
            "value": base64.b64decode(item["value"]).decode(),
            "revision": int(item["mod_revision"]),
            "version": int(item["version"]),
        }
        for item in told["kvs"]
    ]
    assert found == records_of(folder)
    assert int(told["header"]["revision"]) == lines_of(folder)[-1]["revision"]


def test_the_journal_is_gone_on_with(stored: Path) -> None:
    folder = stored / "fleet"
    before = (folder / "register.journal").read_text("utf-8")
    with register_on(folder):
        pass
    after = (folder / "register.journal").read_text("utf-8")
    assert after.startswith(before)
    began, *_ = rows(after.removeprefix(before))
    assert began["what"] == "began"
    assert began["revision"] == rows(before)[-1]["revision"]
    kept = {record["key"]: (record["value"], record["revision"]) for record in records_of(folder)}
    assert {key: (value, revision) for key, value, revision, _ in began["keys"]} == kept
    assert replayed(rows(before)) == kept


def replayed(lines: list[Row]) -> dict[str, tuple[str, int]]:
    """The value and revision of each key, by a journal; no lease ended in it."""
    found: dict[str, tuple[str, int]] = {}
    for line in lines:
        for kind, key, value, _ in line["acts"] if line["what"] == "txn" and line["met"] else ():
            if kind == "put":
                found[key] = (value, line["revision"])
            else:
                found.pop(key, None)
    return found


def test_the_checker_of_journals_reads_the_stored_one(stored: Path) -> None:
    from gullhold.testing.fleet_checker import FleetChecker  # noqa: PLC0415  nothing else reads journals

    expected = rows((stored / "fleet" / "duties.printed").read_text("utf-8"))
    check = FleetChecker(lines_of(stored / "fleet"))
    assert not check.violations
    assert check.leaders() == {row["duty"]: (row["owner"], row["token"]) for row in expected}


# Gateways


def gateway_on(name: str) -> list[str]:
    """The words that start a gateway with its stored files."""
    return ["serve", "--config", f"{name}.json", "--operator", f"{name}.cue"]


def test_a_gateway_without_a_register_goes_by_the_snapshot(stored: Path) -> None:
    folder = stored / "fleet"
    snapshot = json.loads((folder / "snapshot").read_text("utf-8"))
    snapshot["at_us"] = time.time_ns() // 1000  # as if it were written now: an old one is only named
    (folder / "snapshot").write_text(json.dumps(snapshot), "utf-8")
    with started(folder, "n0.log", *gateway_on("n0"), GW_LISTEN=free_address()):

        def used() -> re.Match[str] | None:
            return re.search(
                r"snapshot loaded version=3 .*valid_for_s=([\d.]+)", (folder / "n0.log").read_text("utf-8")
            )

        found = until(used, lambda: (folder / "n0.log").read_text("utf-8"))
    assert float(found[1]) > 0


def test_a_gateway_joins_the_stored_members_and_says_its_word_on_the_open_change(stored: Path) -> None:
    """The leases of the stored members run on: what they own stays theirs."""
    folder = stored / "fleet"
    with ExitStack() as stack:
        address = stack.enter_context(register_on(folder))
        where = ("--register", address, "--name", "rig")
        for suffix, old, new in ((".json", '"name": "n1"', '"name": "n2"'), (".cue", "127.0.0.1:9", address)):
            text = (folder / f"n1{suffix}").read_text("utf-8")
            (folder / f"n2{suffix}").write_text(text.replace(old, new), "utf-8")
        stack.enter_context(started(folder, "n2.log", *gateway_on("n2"), GW_LISTEN=free_address()))

        def joined() -> bool:
            return "ready: n0, n2 (2); says nothing: n1 (1)" in run("policy", "status", *where).stdout

        until(joined, lambda: (folder / "n2.log").read_text("utf-8"))

        def members() -> list[Row]:
            found = rows(printed("fleet", "members", "--json", *where))
            return found if all(row["ready"] for row in found) and len(found) == 3 else []

        found = until(members, lambda: (folder / "n2.log").read_text("utf-8"))
        assert found[:2] == rows((folder / "members.printed").read_text("utf-8"))
        duties = rows((folder / "duties.printed").read_text("utf-8"))
        assert rows(printed("fleet", "duties", "--json", *where)) == duties


def test_gateways_go_on_with_the_stored_fleet_and_end_the_open_change(stored: Path) -> None:
    """The open change is decided, duties get newer tokens, and what may have run is not run again."""
    folder = stored / "fleet"
    old_tokens = {row["duty"]: row["token"] for row in rows((folder / "duties.printed").read_text("utf-8"))}
    database = sqlite3.connect(folder / "register.db")
    with database:
        database.execute("update leases set ttl = 1")  # the old members are forgotten soon
    database.close()
    with ExitStack() as stack:
        address = stack.enter_context(register_on(folder))
        where = ("--register", address, "--name", "rig")
        for name in ("n0", "n1"):
            path = folder / f"{name}.cue"
            path.write_text(path.read_text("utf-8").replace("127.0.0.1:9", address), "utf-8")
            words = gateway_on(name)
            stack.enter_context(started(folder, f"{name}.log", *words, GW_LISTEN=free_address()))

        def story() -> str:
            logs = [(folder / f"{name}.log").read_text("utf-8")[-2000:] for name in ("n0", "n1")]
            return "\n".join([run("policy", "status", *where).stdout, *logs])

        until(lambda: run("policy", "status", "--number", "4", *where).returncode == 0, story)
        audits = until(lambda: settled_audits(printed("fleet", "history", "--json", *where)), story)
        assert audits[0]["state"] == "failed"
        assert "it may have run" in audits[0]["why"]

        def new_duties() -> list[Row]:
            found = rows(printed("fleet", "duties", "--json", *where))
            return found if len(found) == len(old_tokens) else []

        for row in until(new_duties, story):
            assert row["token"] > old_tokens[row["duty"]]
            assert row["owner"] in ("n0", "n1")
        history = rows(printed("policy", "history", "--json", *where))
        assert [(row["number"], row["outcome"]) for row in history][-1] == (4, "decided")
        until(lambda: json.loads((folder / "snapshot").read_text("utf-8"))["record"]["number"] == 4, story)


def settled_audits(text: str) -> list[Row]:
    """The occurrence that had begun when the stored fleet was killed, once it has an outcome."""
    begun = next(
        row
        for row in rows((STORED / "fleet" / "history.printed").read_text("utf-8"))
        if row["command"] == "audit" and row["state"] == "intent"
    )
    return [
        row
        for row in rows(text)
        if (row["command"], row["due"]) == ("audit", begun["due"]) and row["state"] != "intent"
    ]
