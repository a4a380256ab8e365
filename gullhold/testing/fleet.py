"""Several gateways as processes of their own, a register, engines, and relays between them, on loopback.

A scenario calls it step by step: start, stop, kill, pause, resume, cut, heal. What came of it is read from
the register's journal, the engines' records and the gateways' events by gullhold.testing.fleet_checker.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import requests

from gullhold.net import host_port
from gullhold.testing import PATIENCE_S
from gullhold.testing.deployment import config
from gullhold.testing.fleet_checker import Check
from gullhold.testing.relay import HELD, OPEN, Relay
from gullhold.testing.running import ROOT, answers, free_address
from gullhold.testing.working import WorkingEngine

KINDS = {"read": "replayable", "mark": "uniqued", "once": "non-replayable"}  # profiles of the deployment


def _records(items):
    """Records of an operator's file."""
    return "\n".join(
        "{" + ", ".join(f"{key}: {value}" for key, value in item.items()) + "}," for item in items
    )


class KeepingEngine(WorkingEngine):
    """Keeps what it was sent and what it did: (time, mark, profile, statement, done)."""

    def __init__(self, **other):
        self.kept, self.on_fetch = [], lambda *_: None
        super().__init__(**other)

    def _word(self, conn, words):
        if words[0] == b"fetch":
            facts = dict(pair.partition(b"=")[::2] for pair in words[2].split(b","))
            self.kept.append(
                (time.time(), facts.get(b"i", b"").decode(), facts[b"c"].decode(), words[3].decode())
            )
            self.on_fetch(facts, words[3])
        super()._word(conn, words)


class Member:
    """One gateway: its files, its relay to the register, its process."""

    def __init__(self, rig, name):
        self.name, self.relay, self.process = name, Relay(rig.register_address), None
        self.listen = free_address()
        self.address = host_port(self.listen)
        self.folder = rig.path / name
        self.folder.mkdir()
        self.log, self.events = self.folder / "log", self.folder / "events"
        self.serial = 0


class Rig:
    """From entering to leaving.

    fleet: more of the operator's file, as text; lease_s: whole seconds; scheduled, budgets: dicts of the
    operator's words; dedup_s: how long engines remember a mark; adjust(settings) changes the agreement that
    gateways are started with; make(seed): an engine; coordinator: where the list is told.
    """

    def __init__(
        self,
        members=3,
        lease_s=1,
        fleet="",
        scheduled=(),
        beats=0,
        beat_ms=50,
        engines=2,
        seed=1,
        timeout_s=3.0,
        dedup_s=4.0,
        drift="rate: 0.02, margin: 50ms",
        settle_ms=200,
        moves=500,
        budgets=(),
        policy="",
        look="50ms",
        coordinator=None,
        adjust=lambda settings: None,
        make=lambda seed: KeepingEngine(slots=32, seed=seed),
    ):
        self.folder = tempfile.TemporaryDirectory(prefix="gullhold-fleet-")
        self.path, self.lease_s, self.seed, self.dedup_s = Path(self.folder.name), lease_s, seed, dedup_s
        self.timeout_s, self.scheduled = timeout_s, {item["name"]: item for item in scheduled}
        self.engines, self.adjust = [make(seed + i) for i in range(engines)], adjust
        self.born_ms, self.budgets, self.coordinator = {}, list(budgets), coordinator
        self.register_address, self.journal = free_address(), self.path / "journal"
        self.register = None
        self.operator = f"""fleet: {{
            on: true, name: "rig", register: "%s", timeout: 400ms, lease: {lease_s}s, look: {look}
            budgets: [%s]
            policy: {{{policy}}}
            drift: {{{drift}}}
            duties: {{moves: {moves}, settle: {settle_ms}ms, beats: {beats}, beat: {beat_ms}ms,
                     pauses: {{least: 40ms, most: 400ms}}}}
            events: "%s"
            schedule: [{_records(scheduled)}]
        }}
        {fleet}
        """
        self.names, self.members, self.began = [f"n{i}" for i in range(members)], {}, time.time()

    def __enter__(self):
        self.start_register()
        for name in self.names:
            self.members[name] = Member(self, name)
        return self

    def __exit__(self, *_):
        for name in self.members:
            self.kill(name)
        for member in self.members.values():
            member.relay.close()
        if self.register.poll() is None:
            self.register.kill()
        self.register.wait()
        for engine in self.engines:
            engine.close()
        self.folder.cleanup()

    # The register

    def start_register(self):
        """Begin, or begin again with what it kept."""
        self.register = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "gullhold",
                "register",
                "--listen",
                self.register_address,
                "--store",
                str(self.path / "store"),
                "--journal",
                str(self.journal),
                "--fast",
                "--scripted",
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )
        if not self.register.stdout.readline():
            raise RuntimeError("the register did not come up")

    def kill_register(self):
        """SIGKILL, at whatever it is doing."""
        self.register.kill()
        self.register.wait()

    def faults(self, **told):
        """Ask the register for faults."""
        requests.post(f"http://{self.register_address}/faults", json=told, timeout=PATIENCE_S)

    def counts(self):
        """Calls that the register has had, by kind."""
        return requests.get(f"http://{self.register_address}/counts", timeout=PATIENCE_S).json()

    # Members

    def start(self, *names, wait=True, operator=True, name_=None, **hooks):
        """Start gateways; name_: under another's name; hooks: what gullhold.testing.child is asked for."""
        for name in names or self.names:
            member = self.members[name]
            member.serial += 1
            told = config(*self.engines) | {
                "listen": member.listen,
                "name": name_ or name,
                "seed": f"{self.seed * 1000 + member.serial:x}",
                "coordinator": self.coordinator,
            }
            told["settings"]["domain"]["note_period"] = 0  # these engines tell no notes
            for item in told["settings"]["categories"]:
                item["give_up"], item["window"] = self.timeout_s, self.dedup_s
            self.adjust(told["settings"])
            for i, item in enumerate(told["known"]["updates"][0]["endpoints"]["members"]):
                item["up_since_ms"] = self.born_ms.get(i, 0)
            (member.folder / "config.json").write_text(json.dumps(told))
            (member.folder / "operator.cue").write_text(
                self.operator % (member.relay.address, _records(self.budgets), member.events)
            )
            words = ["--operator", str(member.folder / "operator.cue")] if operator else []
            with open(member.log, "ab") as log:
                member.process = subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "gullhold.testing.child",
                        "serve",
                        "--config",
                        str(member.folder / "config.json"),
                        *words,
                    ],
                    cwd=ROOT,
                    stderr=log,
                    stdout=log,
                    env=os.environ
                    | {"PYTHONPATH": str(ROOT), "GULLHOLD_RIG": json.dumps(hooks), "MALLOC_ARENA_MAX": "1"},
                )
        for name in (names or self.names) if wait else ():
            self.until(
                lambda name=name: (
                    answers(self.members[name].address) is not None
                    or self.members[name].process.poll() is not None
                )
            )

    def stop(self, *names):
        """SIGTERM, and wait for the end."""
        for name in names:
            self.members[name].process.terminate()
        for name in names:
            self.members[name].process.wait(PATIENCE_S)

    def kill(self, *names):
        """SIGKILL."""
        for name in names:
            process = self.members[name].process
            if process and process.poll() is None:
                process.kill()
                process.wait()

    def pause(self, *names):
        """SIGSTOP."""
        for name in names:
            self.members[name].process.send_signal(signal.SIGSTOP)

    def resume(self, *names):
        """SIGCONT."""
        for name in names:
            self.members[name].process.send_signal(signal.SIGCONT)

    def paused(self, name):
        """Whether it sleeps by a SIGSTOP."""
        try:
            told = Path(f"/proc/{self.members[name].process.pid}/stat").read_text()
            return told.rpartition(")")[2][1] == "T"
        except OSError:
            return False

    def cut(self, name, way=HELD, sides=("there", "back")):
        """Between a gateway and the register nothing passes on these sides until heal()."""
        self.members[name].relay.set(way, sides)

    def heal(self, name):
        """All passes again."""
        self.members[name].relay.set(OPEN)

    # What is to be seen

    def until(self, true, seconds=PATIENCE_S):
        """Wait for it; what is true."""
        end = time.monotonic() + seconds
        while not (found := true()):
            if time.monotonic() > end:
                raise AssertionError("waited in vain\n" + self.story())
            time.sleep(0.01)
        return found

    def events(self, name=None):
        """What gateways said of the fleet, in order of time: (time, member, event, facts)."""
        found = []
        for member in [self.members[name]] if name else self.members.values():
            for line in member.events.read_text("utf-8").splitlines() if member.events.exists() else ():
                try:
                    told = json.loads(line)["record"]
                except ValueError:  # cut by a kill
                    continue
                found.append((told["time"]["timestamp"], member.name, told["extra"]["event"], told["extra"]))
        return sorted(found, key=lambda row: row[0])

    def lines(self):
        """The register's journal."""
        if not self.journal.exists():
            return []
        return [
            json.loads(line)
            for line in self.journal.read_text("utf-8").splitlines(keepends=True)
            if line.endswith("\n")
        ]

    def owners(self):
        """Who owns each duty by the register's journal: {duty: (member, token)}."""
        return Check(self.lines()).owners()

    def owner(self, duty, other_than=""):
        """Wait until somebody owns a duty, and not this one."""
        return self.until(lambda: (found := self.owners().get(duty)) and found[0] != other_than and found[0])

    def story(self):
        """The last of what happened, for a failure: who, when, token, revision."""
        rows = [
            (
                at,
                f"{who} {what} "
                + " ".join(
                    f"{key}={facts[key]}" for key in ("duty", "token", "why", "due") if facts.get(key)
                ),
            )
            for at, who, what, facts in self.events()
        ]
        rows += [
            (
                line["at"],
                f"register {line['what']} "
                + " ".join(
                    f"{key}={line[key]}" for key in ("revision", "met", "lease", "acts") if key in line
                ),
            )
            for line in self.lines()
            if "kept" not in line["what"]
            and not (line.get("met") and all("/beats/" in act[1] for act in line["acts"]))
        ]  # what went well is no part of a story
        return "\n".join(f"{at - self.began:8.3f} {text[:200]}" for at, text in sorted(rows)[-40:])
