"""Writes the files of `tests/data/<version>/` with the gateway's own code; see README.md beside this file.

Run it from a checkout of the version whose files are wanted, with the libraries of requirements-full.txt and
requirements-dev.txt:

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
LEASE_S = 60  # readers of a stored register must come before the leases of its members are over
NOBODY_LISTENS = "127.0.0.1:9"  # the discard port: stands for the addresses of the run, which are gone
REHEARSAL_SEED = 1
REHEARSAL_MUTANT = "a drain that is heard and not obeyed"  # makes a script fail, so that it is cut down

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


def printed(*words: str, wanted: int = 0) -> str:
    """What one call of the command line prints; it must end with this exit status."""
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        status = main(list(words))
    expect(status, wanted)
    return out.getvalue()


def register_words(fleet: Rig) -> list[str]:
    """Where the register of a fleet is, for the command line."""
    return ["--register", fleet.register_address, "--name", FLEET_NAME]


def write_operator_files(folder: Path) -> None:
    """Operator files, each with what `gullhold config --operator` prints of it."""
    folder.mkdir()
    for source in sorted(Path("deploy").glob("*.cue")):
        shutil.copy(source, folder)
    (folder / "every_field.cue").write_text(EVERY_FIELD, "utf-8")
    (folder / "empty.cue").write_text("", "utf-8")
    for path in sorted(folder.glob("*.cue")):
        path.with_suffix(".printed").write_text(printed("config", "--operator", str(path)), "utf-8")


def write_rehearsal_scripts(folder: Path) -> None:
    """A whole script as drawn from a seed, and one that `gullhold rehearse --shrink` cut down."""
    folder.mkdir()
    whole, small = folder / "whole.txt", folder / "small.txt"
    whole.write_text(script.text_of(play.faults_of(REHEARSAL_SEED, play.Size())), "utf-8")
    words = ["rehearse", "--seeds", str(REHEARSAL_SEED), "--replay", str(whole), "--shrink", str(small)]
    with mutants.applied(REHEARSAL_MUTANT):
        if main(words) != 1:
            raise RuntimeError("the script did not fail")


def write_policies(folder: Path) -> None:
    """Files for `gullhold policy propose`."""
    folder.mkdir()
    for name, text in POLICIES.items():
        (folder / name).write_text(text, "utf-8")


def propose(fleet: Rig, path: Path, *words: str) -> int:
    """Propose a file when no other change is open; the exit status of the command line."""
    office = Office(fleet.register_address, FLEET_NAME)
    fleet.until(lambda: CHANGE not in office.read()[0])
    return main(
        [
            "policy",
            "propose",
            str(path),
            *register_words(fleet),
            "--author",
            "desk",
            "--why",
            path.stem,
            *words,
        ]
    )


def budgets_of(fleet: Rig) -> list[dict]:
    """The rows of `gullhold fleet budgets`."""
    return budgets_show.rows(budgets_show._reader(fleet.register_address, FLEET_NAME)())


def unfinished(fleet: Rig, command: str) -> bool:
    """Whether an occurrence of a scheduled command stands as begun and without an outcome."""
    rows = printed("fleet", "history", "--json", *register_words(fleet)).splitlines()
    return any(row["command"] == command and row["state"] == "intent" for row in map(json.loads, rows))


def play_fleet(fleet: Rig, folder: Path, policies: Path) -> None:
    """A short life of a fleet that ends in the middle of a change: n1 sleeps and the change waits for it."""
    path = folder / "snapshot"
    plain = fleet.operator
    fleet.operator = plain.replace(
        "policy: {on: true}", f'policy: {{on: true, snapshot: "{path}", spare: 24h}}'
    )
    fleet.start("n0")
    fleet.operator = plain
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
    time.sleep(1.5)  # some occurrences of what is scheduled
    expect(propose(fleet, policies / "second.cue", "--wait", "5", "--overlap", "strict"), IN_FORCE)
    time.sleep(1.5)  # some that are skipped
    fleet.until(lambda: (kept := snapshot.read(path)) and kept[0].number == 3)
    fleet.until(lambda: any(row["waiting"] and row["used"] for row in budgets_of(fleet)))
    fleet.until(lambda: unfinished(fleet, "audit"))
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
    fleet.until(lambda: unfinished(fleet, "audit"))
    fleet.kill_register()
    fleet.kill(*fleet.names)
    client.stop()
    client.join()


def expect(found: int, wanted: int) -> None:
    """Stop where the fleet did something else than the data are to show."""
    if found != wanted:
        raise RuntimeError(f"exit status {found} where {wanted} was expected")


def keep_register(fleet: Rig, folder: Path) -> None:
    """The register's store in one file, its journal, and its records as JSON."""
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


def keep_answers(fleet: Rig, folder: Path, policies: Path) -> None:
    """What the command line prints of the store, served anew without any gateway."""
    fleet.start_register()
    where = register_words(fleet)
    for what in ("members", "duties", "history", "budgets"):
        (folder / f"{what}.printed").write_text(printed("fleet", what, "--json", *where), "utf-8")
    (folder / "policies.printed").write_text(printed("policy", "history", "--json", *where), "utf-8")
    (folder / "status.printed").write_text(printed("policy", "status", *where, wanted=UNKNOWN), "utf-8")
    difference = printed("policy", "diff", str(policies / "open.cue"), *where)
    (folder / "difference.printed").write_text(difference, "utf-8")


def keep_gateway(fleet: Rig, folder: Path, name: str) -> None:
    """The configuration and the operator file of a gateway, without the addresses and paths of the run."""
    member = fleet.members[name]
    configuration = (member.folder / "config.json").read_text("utf-8")
    for address in [member.listen, *(engine.address for engine in fleet.engines)]:
        told = address if isinstance(address, str) else ":".join(map(str, address))
        configuration = configuration.replace(told, NOBODY_LISTENS)
    (folder / f"{name}.json").write_text(configuration + "\n", "utf-8")
    (folder / f"{name}.printed").write_text(
        printed("config", "--config", str(folder / f"{name}.json")), "utf-8"
    )
    operator = (member.folder / "operator.cue").read_text("utf-8")
    operator = operator.replace(member.relay.address, NOBODY_LISTENS)
    operator = operator.replace(str(member.events), "events").replace(str(folder / "snapshot"), "snapshot")
    (folder / f"{name}.cue").write_text(operator, "utf-8")


def make(folder: Path) -> None:
    """All of it, into a folder that is not there yet."""
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
        play_fleet(fleet, fleet_folder.resolve(), folder / "policies")
        keep_register(fleet, fleet_folder)
        keep_answers(fleet, fleet_folder, folder / "policies")
        for name in fleet.names:
            keep_gateway(fleet, fleet_folder.resolve(), name)


if __name__ == "__main__":
    make(Path(sys.argv[1]))
