"""Writes the files of `tests/data/<version>/` with the gateway's own code; see README.md beside this file.

It imports modules by the names that they have in commit 3c216f7. Run it from a checkout of that commit, with
the libraries of requirements-full.txt and requirements-dev.txt:

    PYTHONPATH=. python tests/data/make_stored_data.py tests/data/v3c216f7
"""

import contextlib
import io
import json
import shutil
import sqlite3
import sys
import time
from pathlib import Path

from gullhold.rehearsal import mutants, play, script
from gullhold.revisions import snapshot
from gullhold.revisions.change import CHANGE, change_of
from gullhold.revisions.show import DROPPED, IN_FORCE, UNKNOWN, Office
from gullhold.standins import crowd
from gullhold.standins.counting import CountingEngine
from gullhold.standins.fleet import Rig
from gullhold.standins.policycheck import Changes

from gullhold.__main__ import main
from gullhold.budgets import show as budgets_show

FLEET_NAME = "rig"
LEASE_S = 60  # long enough for a test to read the stored database before the leases of its members expire
UNUSED_ADDRESS = "127.0.0.1:9"  # the discard port; replaces the addresses that existed only during the run
REHEARSAL_SEED = 1
REHEARSAL_MUTANT = "a drain that is heard and not obeyed"  # a defect that makes a script fail, to shrink it

POLICIES = {
    "first.cue": 'policy: {grants: read: 20, clients: "desk": 4}\n',
    "refused.cue": "policy: sends: once: 2\n",
    "second.cue": "policy: {grants: read: 21, schedules: cleanup: false, budgets: threads: 10}\n",
    "open.cue": "policy: {grants: read: 22, shares: {}, priorities: {}}\n",
}

EVERY_FIELD = """// A field of each kind: units, nesting, definitions, lists and maps.
#Slow: 2.5s
door: on: true
door: come_back: {least: 250ms, most: #Slow, field: "back"}
door: {
	bytes: 1Mi, waiting: 5K
	client: networks: [
		{net: "10.0.0.0/8", name: "a"},
		{net: "2001:db8::/32", name: "b", each: "address"},
	]
	weights: {"big desk": 2, small: 0.5}
}
fleet: {
	on: true, name: "east", register: "10.1.2.3:2379", timeout: 400ms, lease: 7s, look: 50ms
	drift: {rate: 0.02, margin: 50ms}
	duties: {moves: 500, settle: 200ms, beats: 3, beat: 50ms, pauses: {least: 40ms, most: 400ms}}
	events: "/var/log/gullhold/events"
	policy: {on: true, cut: "stand", snapshot: "/var/lib/gullhold/last", spare: 1h}
	budgets: [{of: "open", tenant: "t", whole: 40, alone: 2, members: 4, floor: 3, grain: 2, linger: 1s}]
	schedule: [{name: "night", at: "0 30 2 * * *", zone: "Europe/Paris", profile: "mark",
		statement: "select 1", work: 4s, memory: 64, window: 5min, tries: 2, overlap: "wait"}]
}
"""

SCHEDULED = [
    {
        "name": '"warm"',
        "every": "1s",
        "profile": '"read"',
        "window": "5s",
        "work": "10ms",
        "statement": '"select 1 from warm_1.t /* work=10 */"',
    },
    {
        "name": '"cleanup"',
        "every": "1s",
        "profile": '"once"',
        "window": "5s",
        "work": "10ms",
        "statement": '"delete from cleanup_1.t /* work=10 */"',
    },
    {
        "name": '"audit"',
        "every": "1s",
        "profile": '"once"',
        "window": "5s",
        "work": "2s",
        "statement": '"insert into audit_1.t /* work=2000 */"',
    },
]
BUDGETS = [{"of": '"threads"', "whole": 12, "linger": "1s", "alone": 1, "members": 2}]
DOOR = 'door: {on: true, client: field: "client", weights: {desk: 2}}'


def output_of(*arguments: str, expected: int = 0) -> str:
    """Run one gullhold command and return what it prints. Raises RuntimeError for another exit status."""
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        status = main(list(arguments))
    expect(status, expected)
    return out.getvalue()


def store_options_of(fleet: Rig) -> list[str]:
    """The command-line options that name a fleet and the address of its store."""
    return ["--register", fleet.register_address, "--name", FLEET_NAME]


def write_operator_files(folder: Path) -> None:
    """Write operator files, and for each of them what `gullhold config --operator` prints."""
    folder.mkdir()
    for source in sorted(Path("deploy").glob("*.cue")):
        shutil.copy(source, folder)
    (folder / "every_field.cue").write_text(EVERY_FIELD, "utf-8")
    (folder / "empty.cue").write_text("", "utf-8")
    for path in sorted(folder.glob("*.cue")):
        path.with_suffix(".printed").write_text(output_of("config", "--operator", str(path)), "utf-8")


def write_rehearsal_scripts(folder: Path) -> None:
    """Write the complete script of a seed, and one that `gullhold rehearse --shrink` has shortened."""
    folder.mkdir()
    whole, small = folder / "whole.txt", folder / "small.txt"
    whole.write_text(script.text_of(play.faults_of(REHEARSAL_SEED, play.Size())), "utf-8")
    arguments = ["rehearse", "--seeds", str(REHEARSAL_SEED), "--replay", str(whole), "--shrink", str(small)]
    with mutants.applied(REHEARSAL_MUTANT):
        if main(arguments) != 1:
            raise RuntimeError("the script did not fail")


def write_policies(folder: Path) -> None:
    """Write policy files for `gullhold policy propose`."""
    folder.mkdir()
    for name, text in POLICIES.items():
        (folder / name).write_text(text, "utf-8")


def propose(fleet: Rig, path: Path, *arguments: str) -> int:
    """Propose a policy file once no other change is open; returns the exit status of the command."""
    office = Office(fleet.register_address, FLEET_NAME)
    fleet.until(lambda: CHANGE not in office.read()[0])
    return main(
        [
            "policy",
            "propose",
            str(path),
            *store_options_of(fleet),
            "--author",
            "desk",
            "--why",
            path.stem,
            *arguments,
        ]
    )


def budgets_of(fleet: Rig) -> list[dict]:
    """Return the rows that `gullhold fleet budgets` prints."""
    return budgets_show.rows(budgets_show._reader(fleet.register_address, FLEET_NAME)())


def has_open_occurrence(fleet: Rig, command: str) -> bool:
    """Return whether an occurrence of a scheduled command is stored as begun, without an outcome."""
    rows = output_of("fleet", "history", "--json", *store_options_of(fleet)).splitlines()
    return any(row["command"] == command and row["state"] == "intent" for row in map(json.loads, rows))


def run_fleet(fleet: Rig, folder: Path, policies: Path) -> None:
    """Run a fleet through three changes, and kill it during a fourth that waits for the paused member n1."""
    path = folder / "snapshot"
    operator_text = fleet.operator
    fleet.operator = operator_text.replace(
        "policy: {on: true}", f'policy: {{on: true, snapshot: "{path}", spare: 24h}}'
    )
    fleet.start("n0")
    fleet.operator = operator_text
    fleet.start("n1")
    fleet.until(lambda: len(Changes(fleet.lines()).under()) == 2)
    client = crowd.Client(
        fleet.members["n0"].address,
        "",
        "desk",
        open=40,
        connections=2,
        work_ms=60.0,
        limit_ms=900,
        manner=crowd.NOT_AT_ALL,
        seed=1,
    ).start()
    expect(propose(fleet, policies / "first.cue", "--wait", "5"), IN_FORCE)
    expect(propose(fleet, policies / "refused.cue", "--wait", "5"), DROPPED)
    time.sleep(1.5)  # time for some occurrences of the scheduled commands
    expect(propose(fleet, policies / "second.cue", "--wait", "5", "--overlap", "strict"), IN_FORCE)
    time.sleep(1.5)  # time for some occurrences that the policy skips
    fleet.until(lambda: (kept := snapshot.read(path)) and kept[0].number == 3)
    fleet.until(lambda: any(row["waiting"] and row["used"] for row in budgets_of(fleet)))
    fleet.until(lambda: has_open_occurrence(fleet, "audit"))
    fleet.pause("n1")
    propose(
        fleet,
        policies / "open.cue",
        "--silence",
        "wait",
        "--patience",
        "600",
        "--canary",
        "0.5",
        "--canary-seconds",
        "1",
    )
    office = Office(fleet.register_address, FLEET_NAME)
    fleet.until(lambda: "ready: n0" in office.status(4)[1])
    fleet.until(lambda: change_of(office.read()[0][CHANGE]).state == "checked")
    fleet.until(lambda: has_open_occurrence(fleet, "audit"))
    fleet.kill_register()
    fleet.kill(*fleet.names)
    client.stop()
    client.join()


def expect(found: int, expected: int) -> None:
    """Raise RuntimeError if a command ended with another exit status than the stored data have to show."""
    if found != expected:
        raise RuntimeError(f"exit status {found} where {expected} was expected")


def write_store(fleet: Rig, folder: Path) -> None:
    """Copy the store's database in one file and its journal, and write its records as JSON."""
    store = fleet.path / "store"
    database = sqlite3.connect(store)
    database.execute("pragma wal_checkpoint(truncate)")
    records = [
        {"key": key.decode(), "value": value.decode(), "revision": changed, "version": version}
        for key, value, changed, version in database.execute(
            "select key, value, changed, version from kv order by key"
        )
    ]
    database.close()
    shutil.copy(store, folder / "register.db")
    shutil.copy(fleet.journal, folder / "register.journal")
    (folder / "register.json").write_text(
        "[\n" + ",\n".join(json.dumps(record) for record in records) + "\n]\n", "utf-8"
    )


def write_command_output(fleet: Rig, folder: Path, policies: Path) -> None:
    """Write what commands print about the store, which runs again without any gateway."""
    fleet.start_register()
    store_options = store_options_of(fleet)
    for what in ("members", "duties", "history", "budgets"):
        (folder / f"{what}.printed").write_text(output_of("fleet", what, "--json", *store_options), "utf-8")
    (folder / "policies.printed").write_text(
        output_of("policy", "history", "--json", *store_options), "utf-8"
    )
    (folder / "status.printed").write_text(
        output_of("policy", "status", *store_options, expected=UNKNOWN), "utf-8"
    )
    difference = output_of("policy", "diff", str(policies / "open.cue"), *store_options)
    (folder / "difference.printed").write_text(difference, "utf-8")


def write_gateway_files(fleet: Rig, folder: Path, name: str) -> None:
    """Write a gateway's configuration and operator file, without addresses and paths of the run."""
    member = fleet.members[name]
    configuration = (member.folder / "config.json").read_text("utf-8")
    for address in [member.listen, *(engine.address for engine in fleet.engines)]:
        told = address if isinstance(address, str) else ":".join(map(str, address))
        configuration = configuration.replace(told, UNUSED_ADDRESS)
    (folder / f"{name}.json").write_text(configuration + "\n", "utf-8")
    (folder / f"{name}.printed").write_text(
        output_of("config", "--config", str(folder / f"{name}.json")), "utf-8"
    )
    operator = (member.folder / "operator.cue").read_text("utf-8")
    operator = operator.replace(member.relay.address, UNUSED_ADDRESS)
    operator = operator.replace(str(member.events), "events").replace(str(folder / "snapshot"), "snapshot")
    (folder / f"{name}.cue").write_text(operator, "utf-8")


def make(folder: Path) -> None:
    """Write all files into a new folder."""
    folder.mkdir(parents=True)
    write_operator_files(folder / "operator")
    write_policies(folder / "policies")
    write_rehearsal_scripts(folder / "rehearsal")
    fleet_folder = folder / "fleet"
    fleet_folder.mkdir()
    with Rig(
        members=2,
        engines=1,
        lease_s=LEASE_S,
        scheduled=SCHEDULED,
        budgets=BUDGETS,
        fleet=DOOR,
        beats=1,
        beat_ms=1000,
        policy="on: true",
        look="200ms",
        make=lambda seed: CountingEngine(slots=64, seed=seed),
    ) as fleet:
        run_fleet(fleet, fleet_folder.resolve(), folder / "policies")
        write_store(fleet, fleet_folder)
        write_command_output(fleet, fleet_folder, folder / "policies")
        for name in fleet.names:
            write_gateway_files(fleet, fleet_folder.resolve(), name)


if __name__ == "__main__":
    make(Path(sys.argv[1]))
