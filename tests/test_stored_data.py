"""This version reads the files that an earlier version wrote (tests/data/README.md).

These are operator files, configurations, policies, simulation scripts, and the store of a small fleet that
was killed in the middle of a policy change.
"""

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
TIMEOUT_S = 15.0  # time after which a wait or a call fails; all of them take far less
POLL_INTERVAL_S = 0.05
PREFIX = "/gullhold/rig/"
STATUS_UNKNOWN = 4  # exit status of `gullhold policy status` while the outcome of the change is not known
ENVIRONMENT = os.environ | {"PYTHONPATH": str(ROOT)}

Row = dict[str, Any]
Result = TypeVar("Result")


@pytest.fixture
def stored(tmp_path: Path) -> Path:
    """A writable copy of the stored files."""
    return Path(shutil.copytree(STORED, tmp_path / "stored"))


def free_address() -> str:
    """Return a loopback address on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run one gullhold command to its end."""
    return subprocess.run(
        [sys.executable, "-m", "gullhold", *arguments],
        env=ENVIRONMENT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


def output_of(*arguments: str) -> str:
    """Run one gullhold command, which has to succeed, and return what it prints."""
    ended = run(*arguments)
    assert ended.returncode == 0, f"gullhold {' '.join(arguments)}: status {ended.returncode}: {ended.stderr}"
    return ended.stdout


def wait_until(probe: Callable[[], Result], diagnostics: Callable[[], str] = lambda: "") -> Result:
    """Call probe() until it returns something true, and return that.

    diagnostics: returns text for the error message if TIMEOUT_S passes first.
    """
    end = time.monotonic() + TIMEOUT_S
    while not (found := probe()):
        assert time.monotonic() < end, f"the condition did not hold within {TIMEOUT_S} s {diagnostics()}"
        time.sleep(POLL_INTERVAL_S)
    return found


@contextmanager
def running_process(
    folder: Path, log: str, *arguments: str, **environment: str
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a gullhold command in a folder and kill it on leaving.

    log: the name of the file in the folder that gets its output; environment: further variables.
    """
    with open(folder / log, "wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-m", "gullhold", *arguments],
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
def running_store(folder: Path) -> Iterator[str]:
    """Run a store on the stored database in this folder; yields its address."""
    address = free_address()
    arguments = ("--listen", address, "--store", "register.db", "--journal", "register.journal")
    with running_process(folder, "register.log", "register", *arguments) as process:

        def serves() -> bool:
            assert process.poll() is None, f"the store ended with status {process.poll()}:\n" + (
                folder / "register.log"
            ).read_text("utf-8")
            return "register on" in (folder / "register.log").read_text("utf-8")

        wait_until(serves)
        yield address


def json_lines(text: str) -> list[Row]:
    """Parse text that has one JSON object per line."""
    return [json.loads(line) for line in text.splitlines()]


def printed_fields(text: str) -> Row:
    """Parse the output of `gullhold config --operator`: one path and value per line."""
    return {
        path: ast.literal_eval(value) for path, value in (line.split(": ", 1) for line in text.splitlines())
    }


def stored_records(folder: Path) -> list[Row]:
    """The records of the stored database, as written beside it in JSON."""
    return json.loads((folder / "register.json").read_text("utf-8"))


def journal_lines(folder: Path) -> list[Row]:
    """The lines of the store's journal."""
    return json_lines((folder / "register.journal").read_text("utf-8"))


# Operator files, configurations, policies, scripts


@pytest.mark.parametrize("name", sorted(path.stem for path in (STORED / "operator").glob("*.cue")))
def test_an_operator_file_has_the_recorded_values(stored: Path, name: str) -> None:
    path = stored / "operator" / f"{name}.cue"
    expected = printed_fields(path.with_suffix(".printed").read_text("utf-8"))
    found = printed_fields(output_of("config", "--operator", str(path)))
    assert {field: found.get(field, "missing") for field in expected} == expected


def test_a_configuration_has_the_recorded_values(stored: Path) -> None:
    path = stored / "fleet" / "n0.json"
    expected = path.with_suffix(".printed").read_text("utf-8")
    found = output_of("config", "--config", str(path))
    assert found.splitlines()[0] == expected.splitlines()[0]
    for word in ("name='read'", "name='mark'", "name='once'", "3000000", "65536.0"):
        assert word in expected
        assert word in found


@pytest.mark.parametrize("name, settings", [("first", 2), ("refused", 1), ("second", 3), ("open", 1)])
def test_a_stored_policy_is_accepted(stored: Path, name: str, settings: int) -> None:
    assert output_of("policy", "check", str(stored / "policies" / f"{name}.cue")).startswith(
        f"{settings} settings"
    )


@pytest.mark.parametrize("name", ["whole", "small"])
def test_a_simulation_script_plays_the_faults_that_it_lists(stored: Path, name: str) -> None:
    path = stored / "rehearsal" / f"{name}.txt"
    kinds = {json.loads(line)["kind"] for line in path.read_text("utf-8").splitlines() if line[0] != "#"}
    table = output_of("rehearse", "--seeds", "1", "--replay", str(path))
    met = {kind for kind, scripts in re.findall(r"│ ([a-z ]+?) +│ (\d+) +│", table) if scripts == "1"}
    assert met == kinds
    assert kinds


# The store


def test_commands_print_the_recorded_output_from_the_stored_register(stored: Path) -> None:
    folder = stored / "fleet"
    with running_store(folder) as address:
        store_options = ("--register", address, "--name", "rig")
        for command in ("members", "duties", "history", "budgets"):
            expected = json_lines((folder / f"{command}.printed").read_text("utf-8"))
            assert json_lines(output_of("fleet", command, "--json", *store_options)) == expected
            assert expected
        expected = json_lines((folder / "policies.printed").read_text("utf-8"))
        assert json_lines(output_of("policy", "history", "--json", *store_options)) == expected
        assert [row["outcome"] for row in expected] == ["decided", "dropped", "decided"]
        status = run("policy", "status", *store_options)
        assert status.returncode == STATUS_UNKNOWN
        assert status.stdout == (folder / "status.printed").read_text("utf-8")
        difference = output_of("policy", "diff", str(stored / "policies" / "open.cue"), *store_options)
        assert difference == (folder / "difference.printed").read_text("utf-8")


def test_the_register_serves_the_stored_records(stored: Path) -> None:
    folder = stored / "fleet"
    # "0" follows "/" in ASCII, so the range holds all keys with the prefix.
    start, end = (PREFIX.encode(), PREFIX[:-1].encode() + b"0")
    body = {"key": base64.b64encode(start).decode(), "range_end": base64.b64encode(end).decode()}
    with running_store(folder) as address:
        request = urllib.request.Request(
            f"http://{address}/v3/kv/range", json.dumps(body).encode(), {"Content-Type": "application/json"}
        )
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as reply:
            answer = json.load(reply)
    found = [
        {
            "key": base64.b64decode(item["key"]).decode(),
            "value": base64.b64decode(item["value"]).decode(),
            "revision": int(item["mod_revision"]),
            "version": int(item["version"]),
        }
        for item in answer["kvs"]
    ]
    assert found == stored_records(folder)
    assert int(answer["header"]["revision"]) == journal_lines(folder)[-1]["revision"]


def test_a_stored_journal_is_continued(stored: Path) -> None:
    folder = stored / "fleet"
    before = (folder / "register.journal").read_text("utf-8")
    with running_store(folder):
        pass
    after = (folder / "register.journal").read_text("utf-8")
    assert after.startswith(before)
    start_record, *_ = json_lines(after.removeprefix(before))
    assert start_record["what"] == "began"
    assert start_record["revision"] == json_lines(before)[-1]["revision"]
    expected = {record["key"]: (record["value"], record["revision"]) for record in stored_records(folder)}
    assert {key: (value, revision) for key, value, revision, _ in start_record["keys"]} == expected
    assert replay(json_lines(before)) == expected


def replay(lines: list[Row]) -> dict[str, tuple[str, int]]:
    """Return the value and revision of each key after a journal in which no lease ends."""
    found: dict[str, tuple[str, int]] = {}
    for line in lines:
        for kind, key, value, _ in line["acts"] if line["what"] == "txn" and line["met"] else ():
            if kind == "put":
                found[key] = (value, line["revision"])
            else:
                found.pop(key, None)
    return found


def test_the_journal_checker_reads_the_stored_journal(stored: Path) -> None:
    from gullhold.testing.fleet_checker import FleetChecker  # noqa: PLC0415  only this test needs it

    expected = json_lines((stored / "fleet" / "duties.printed").read_text("utf-8"))
    checker = FleetChecker(journal_lines(stored / "fleet"))
    assert not checker.violations
    assert checker.leaders() == {row["duty"]: (row["owner"], row["token"]) for row in expected}


# Gateways


def gateway_command(name: str) -> list[str]:
    """The arguments that start a gateway with its stored files."""
    return ["serve", "--config", f"{name}.json", "--operator", f"{name}.cue"]


def test_a_gateway_uses_the_stored_snapshot_when_no_register_answers(stored: Path) -> None:
    folder = stored / "fleet"
    snapshot = json.loads((folder / "snapshot").read_text("utf-8"))
    snapshot["at_us"] = time.time_ns() // 1000  # as if written now: an old snapshot is logged but not used
    (folder / "snapshot").write_text(json.dumps(snapshot), "utf-8")
    with running_process(folder, "n0.log", *gateway_command("n0"), GW_LISTEN=free_address()):

        def snapshot_loaded() -> re.Match[str] | None:
            return re.search(
                r"snapshot loaded version=3 .*valid_for_s=([\d.]+)", (folder / "n0.log").read_text("utf-8")
            )

        found = wait_until(snapshot_loaded, lambda: (folder / "n0.log").read_text("utf-8"))
    assert float(found[1]) > 0


def test_a_gateway_joins_the_stored_members_and_votes_on_the_open_change(stored: Path) -> None:
    """The stored members still have their leases after the store's restart, and so keep their roles."""
    folder = stored / "fleet"
    with ExitStack() as stack:
        address = stack.enter_context(running_store(folder))
        store_options = ("--register", address, "--name", "rig")
        for suffix, old, new in ((".json", '"name": "n1"', '"name": "n2"'), (".cue", "127.0.0.1:9", address)):
            text = (folder / f"n1{suffix}").read_text("utf-8")
            (folder / f"n2{suffix}").write_text(text.replace(old, new), "utf-8")
        stack.enter_context(
            running_process(folder, "n2.log", *gateway_command("n2"), GW_LISTEN=free_address())
        )

        def joined() -> bool:
            return "ready: n0, n2 (2); says nothing: n1 (1)" in run("policy", "status", *store_options).stdout

        wait_until(joined, lambda: (folder / "n2.log").read_text("utf-8"))

        def members() -> list[Row]:
            found = json_lines(output_of("fleet", "members", "--json", *store_options))
            return found if all(row["ready"] for row in found) and len(found) == 3 else []

        found = wait_until(members, lambda: (folder / "n2.log").read_text("utf-8"))
        assert found[:2] == json_lines((folder / "members.printed").read_text("utf-8"))
        duties = json_lines((folder / "duties.printed").read_text("utf-8"))
        assert json_lines(output_of("fleet", "duties", "--json", *store_options)) == duties


def test_gateways_continue_the_stored_fleet_and_decide_the_open_change(stored: Path) -> None:
    """The open change is decided, roles get newer tokens, and a command that may have run is not repeated."""
    folder = stored / "fleet"
    tokens_before = {
        row["duty"]: row["token"] for row in json_lines((folder / "duties.printed").read_text("utf-8"))
    }
    database = sqlite3.connect(folder / "register.db")
    with database:
        database.execute("update leases set ttl = 1")  # the leases of the old members expire soon
    database.close()
    with ExitStack() as stack:
        address = stack.enter_context(running_store(folder))
        store_options = ("--register", address, "--name", "rig")
        for name in ("n0", "n1"):
            path = folder / f"{name}.cue"
            path.write_text(path.read_text("utf-8").replace("127.0.0.1:9", address), "utf-8")
            arguments = gateway_command(name)
            stack.enter_context(running_process(folder, f"{name}.log", *arguments, GW_LISTEN=free_address()))

        def diagnostics() -> str:
            logs = [(folder / f"{name}.log").read_text("utf-8")[-2000:] for name in ("n0", "n1")]
            return "\n".join([run("policy", "status", *store_options).stdout, *logs])

        wait_until(
            lambda: run("policy", "status", "--number", "4", *store_options).returncode == 0, diagnostics
        )
        audits = wait_until(
            lambda: settled_audits(output_of("fleet", "history", "--json", *store_options)), diagnostics
        )
        assert audits[0]["state"] == "failed"
        assert "it may have run" in audits[0]["why"]

        def new_duties() -> list[Row]:
            found = json_lines(output_of("fleet", "duties", "--json", *store_options))
            return found if len(found) == len(tokens_before) else []

        for row in wait_until(new_duties, diagnostics):
            assert row["token"] > tokens_before[row["duty"]]
            assert row["owner"] in ("n0", "n1")
        history = json_lines(output_of("policy", "history", "--json", *store_options))
        assert [(row["number"], row["outcome"]) for row in history][-1] == (4, "decided")
        wait_until(
            lambda: json.loads((folder / "snapshot").read_text("utf-8"))["record"]["number"] == 4, diagnostics
        )


def settled_audits(text: str) -> list[Row]:
    """Return the occurrence that was open when the stored fleet was killed, as a list.

    The list is empty until the occurrence has an outcome.
    """
    opened = next(
        row
        for row in json_lines((STORED / "fleet" / "history.printed").read_text("utf-8"))
        if row["command"] == "audit" and row["state"] == "intent"
    )
    return [
        row
        for row in json_lines(text)
        if (row["command"], row["due"]) == ("audit", opened["due"]) and row["state"] != "intent"
    ]
