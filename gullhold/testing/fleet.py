"""A test rig of a fleet: gateway processes, their relays to a store process, and engines, all on loopback.

A test starts, stops, kills, pauses and resumes gateways, and cuts their connections to the store.
gullhold.testing.fleet_checker checks the results in the store's journal, the engines' records and the
gateways' events.
"""

import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, Self

import requests

from gullhold.testing import WAIT_TIMEOUT_S, gateway_log
from gullhold.testing.deployment import config
from gullhold.testing.fleet_checker import FleetChecker
from gullhold.testing.fleet_process import Member, StoreProcess
from gullhold.testing.recording_engine import RecordingEngine
from gullhold.testing.relay import Direction, RelayMode
from gullhold.testing.running import serving_status

IDEMPOTENCY_BY_PROFILE = {"read": "replayable", "mark": "uniqued", "once": "non-replayable"}
SEEDS_PER_RIG = 1000  # each start of a gateway has its own seed; bounds the number of starts in a rig
POLL_INTERVAL_S = 0.01
TIMELINE_LINES = 40  # the last ones, in a failure's message
TIMELINE_LINE_LENGTH = 200  # characters
TIMELINE_EVENT_FIELDS = ("role", "token", "reason", "due_us")
TIMELINE_JOURNAL_FIELDS = ("revision", "met", "lease", "acts")

OPERATOR_FILE = """fleet: {{
    on: true, name: "rig", register: "{register}", timeout: 400ms, lease: {lease_s}s, look: {look}
    budgets: [{budgets}]
    policy: {{{policy}}}
    drift: {{{drift}}}
    duties: {{{roles}, pauses: {{least: 40ms, most: 400ms}}}}
    events: "{events}"
    schedule: [{schedule}]
}}
{more}
"""

Facts = dict[str, Any]


class FleetEvent(NamedTuple):
    """A fleet event that a gateway logged. at: Unix s; facts: the fields of its log record."""

    at: float
    member: str
    text: str
    facts: Facts


def _operator_list(items: Iterable[dict[str, Any]]) -> str:
    """Return records as the elements of a list in an operator file."""
    rows = [", ".join(f"{key}: {value}" for key, value in item.items()) for item in items]
    return "\n".join("{" + row + "}," for row in rows)


def _make_recording_engine(seed: int) -> RecordingEngine:
    return RecordingEngine(slots=32, seed=seed)


def _leave_unchanged(_settings: dict[str, Any]) -> None:
    """Change nothing in the settings."""


@dataclass(frozen=True, kw_only=True)
class FleetRigOptions:
    """The options of a FleetRig.

    members, engines: their numbers; lease_s: lease of a member; operator_text: further text of the operator
    file; scheduled, budgets: records of the operator file; heartbeat_roles, heartbeat_ms: number of heartbeat
    roles and their period; seed: of the engines and gateways; timeout_s: client timeout of all profiles;
    dedup_s: how long engines remember an idempotency key; drift, policy: text of the operator file under
    these keys; settle_ms, max_moves_per_s: settling time of roles, and how many may move in a second;
    budget_check_interval: duration in the operator file; coordinator: address of the discovery service;
    adjust_settings: changes the settings that gateways are started with, in place; make_engine: makes an
    engine from a seed.
    """

    members: int = 3
    lease_s: int = 1
    operator_text: str = ""
    scheduled: Iterable[dict[str, Any]] = ()
    heartbeat_roles: int = 0
    heartbeat_ms: int = 50
    engines: int = 2
    seed: int = 1
    timeout_s: float = 3.0
    dedup_s: float = 4.0
    drift: str = "rate: 0.02, margin: 50ms"
    settle_ms: int = 200
    max_moves_per_s: int = 500
    budgets: Iterable[dict[str, Any]] = ()
    policy: str = ""
    budget_check_interval: str = "50ms"
    coordinator: str | None = None
    adjust_settings: Callable[[dict[str, Any]], Any] = _leave_unchanged
    make_engine: Callable[[int], RecordingEngine] = _make_recording_engine

    def operator_values(self) -> dict[str, Any]:
        """Return the values in the operator file that are the same for all members."""
        return {
            "lease_s": self.lease_s,
            "look": self.budget_check_interval,
            "policy": self.policy,
            "drift": self.drift,
            "roles": (
                f"moves: {self.max_moves_per_s}, settle: {self.settle_ms}ms, "
                f"beats: {self.heartbeat_roles}, beat: {self.heartbeat_ms}ms"
            ),
            "schedule": _operator_list(self.scheduled),
            "more": self.operator_text,
        }


class FleetRig:
    """A fleet of gateway processes with its store and engines, which runs inside a `with` block.

    engine_start_ms: start times of engines in Unix ms, by the engine's number; started_at: Unix s; budgets:
    records of the operator file, read whenever a member starts.
    """

    def __init__(self, **options: Any) -> None:
        """Start the engines; no gateway or store runs yet. options: fields of FleetRigOptions."""
        self.options = FleetRigOptions(**options)
        self.lease_s = self.options.lease_s
        self.dedup_s = self.options.dedup_s
        self.folder = tempfile.TemporaryDirectory(prefix="gullhold-fleet-")
        self.path = Path(self.folder.name)
        self.budgets = list(self.options.budgets)
        self.engines = [
            self.options.make_engine(self.options.seed + number) for number in range(self.options.engines)
        ]
        self.engine_start_ms: dict[int, int] = {}
        self.store_process = StoreProcess(self.path)
        self.names = [f"n{number}" for number in range(self.options.members)]
        self.members: dict[str, Member] = {}
        self.started_at = time.time()
        self._operator_values = self.options.operator_values()

    def __enter__(self) -> Self:
        """Start the store, and prepare the members; none of them is started."""
        self.start_store()
        for name in self.names:
            self.members[name] = Member(name, self.path, self.store_address)
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes, and remove the files."""
        for member in self.members.values():
            member.kill()
            gateway_log.record(member.log_text())
        for member in self.members.values():
            member.relay.close()
        self.store_process.close()
        for engine in self.engines:
            engine.close()
        self.folder.cleanup()

    # The store

    @property
    def store_address(self) -> str:
        """HOST:PORT of the store."""
        return self.store_process.address

    def start_store(self) -> None:
        """Start the store, or restart it on its file."""
        self.store_process.start()

    def kill_store(self) -> None:
        """Kill the store with SIGKILL."""
        self.store_process.kill()

    def inject_store_faults(self, **faults: Any) -> None:
        """Make the store fail in these ways; the names are those of Faults.set() in the store server."""
        requests.post(f"http://{self.store_address}/faults", json=faults, timeout=WAIT_TIMEOUT_S)

    def store_call_counts(self) -> dict[str, int]:
        """Return the number of calls that the store has received, by path."""
        return requests.get(f"http://{self.store_address}/counts", timeout=WAIT_TIMEOUT_S).json()

    # Members

    def start(
        self,
        *names: str,
        wait: bool = True,
        operator: bool = True,
        as_name: str | None = None,
        **hooks: Any,
    ) -> None:
        """Start these gateways, or all of them if no names are given.

        wait: wait until each answers its health check or has ended; operator: with an operator file; as_name:
        the name in the configuration, if it is another member's; hooks: for gullhold.testing.hooked_gateway.
        """
        started = [self.members[name] for name in names or self.names]
        for member in started:
            member.serial += 1
            operator_text = self._operator_text(member) if operator else None
            member.start(self._configuration(member, as_name or member.name), operator_text, hooks)
        if wait:
            for member in started:
                self.wait_until(partial(_has_started_or_ended, member))

    def _operator_text(self, member: Member) -> str:
        return OPERATOR_FILE.format(
            register=member.relay.address,
            budgets=_operator_list(self.budgets),
            events=member.events,
            **self._operator_values,
        )

    def _configuration(self, member: Member, name: str) -> dict[str, Any]:
        configuration = config(*self.engines) | {
            "listen": member.listen,
            "name": name,
            "seed": f"{self.options.seed * SEEDS_PER_RIG + member.serial:x}",
            "coordinator": self.options.coordinator,
        }
        settings = configuration["settings"]
        settings["domain"]["note_period"] = 0  # the test engines send no status notes
        for category in settings["categories"]:
            category["give_up"] = self.options.timeout_s
            category["window"] = self.dedup_s
        self.options.adjust_settings(settings)
        entries = configuration["known"]["updates"][0]["endpoints"]["members"]
        for number, entry in enumerate(entries):
            entry["up_since_ms"] = self.engine_start_ms.get(number, 0)
        return configuration

    def stop(self, *names: str) -> None:
        """Send SIGTERM to these gateways, and wait until they have ended."""
        for name in names:
            self.members[name].terminate()
        for name in names:
            self.members[name].wait()

    def kill(self, *names: str) -> None:
        """Kill these gateways with SIGKILL."""
        for name in names:
            self.members[name].kill()

    def pause(self, *names: str) -> None:
        """Suspend these gateways with SIGSTOP."""
        for name in names:
            self.members[name].pause()

    def resume(self, *names: str) -> None:
        """Resume these gateways with SIGCONT."""
        for name in names:
            self.members[name].resume()

    def is_paused(self, name: str) -> bool:
        """Return whether a gateway is suspended by SIGSTOP."""
        return self.members[name].is_paused()

    def cut(
        self, name: str, mode: RelayMode = RelayMode.HELD, directions: Iterable[str] = tuple(Direction)
    ) -> None:
        """Interrupt a gateway's connections to the store until heal(); mode: what becomes of the bytes."""
        self.members[name].relay.set(mode, directions)

    def heal(self, name: str) -> None:
        """Let a gateway and the store communicate again."""
        self.members[name].relay.set(RelayMode.OPEN)

    # Waiting for and reading what the gateways and the store do

    def wait_until(self, condition: Callable[[], Any], seconds: float = WAIT_TIMEOUT_S) -> Any:
        """Wait until a condition returns something true, and return that.

        Raises AssertionError with the timeline if it does not hold within the given number of seconds.
        """
        deadline = time.monotonic() + seconds
        while not (found := condition()):
            if time.monotonic() > deadline:
                raise AssertionError(f"the condition did not hold within {seconds} s\n" + self.timeline())
            time.sleep(POLL_INTERVAL_S)
        return found

    def events(self, name: str | None = None) -> list[FleetEvent]:
        """Return the fleet events that gateways logged, in order of time; name: of this gateway only."""
        members = [self.members[name]] if name else self.members.values()
        events = [
            FleetEvent(record["time"]["timestamp"], member.name, record["extra"]["event"], record["extra"])
            for member in members
            for record in member.event_records()
        ]
        return sorted(events, key=lambda event: event.at)

    def journal_lines(self) -> list[dict[str, Any]]:
        """Return the records of the store's journal."""
        return self.store_process.journal_lines()

    def leaders(self) -> dict[str, tuple[str, int]]:
        """Return the (member, token) of the leader of each role, according to the store's journal."""
        return FleetChecker(self.journal_lines()).leaders()

    def wait_for_leader(self, role: str, other_than: str = "") -> str:
        """Wait until a member other than `other_than` leads a role; return its name."""

        def new_leader() -> str | None:
            leader = self.leaders().get(role)
            if leader is None or leader[0] == other_than:
                return None
            return leader[0]

        return self.wait_until(new_leader)

    def timeline(self) -> str:
        """Return the latest fleet events and journal records as text, for the message of a failure."""
        rows = [(event.at, _event_text(event)) for event in self.events()]
        rows += [(line["at"], _journal_text(line)) for line in self.journal_lines() if _is_shown(line)]
        last = sorted(rows)[-TIMELINE_LINES:]
        return "\n".join(f"{at - self.started_at:8.3f} {text[:TIMELINE_LINE_LENGTH]}" for at, text in last)


def _has_started_or_ended(member: Member) -> bool:
    return serving_status(member.address) is not None or member.has_ended()


def _event_text(event: FleetEvent) -> str:
    facts = [f"{key}={event.facts[key]}" for key in TIMELINE_EVENT_FIELDS if event.facts.get(key)]
    return " ".join([event.member, event.text, *facts])


def _journal_text(line: dict[str, Any]) -> str:
    facts = [f"{key}={line[key]}" for key in TIMELINE_JOURNAL_FIELDS if key in line]
    return " ".join(["register", line["what"], *facts])


def _is_shown(line: dict[str, Any]) -> bool:
    """Return whether the timeline shows a journal record: all but renewed leases and written heartbeats."""
    if "kept" in line["what"]:
        return False
    is_heartbeat = line.get("met") and all("/beats/" in write[1] for write in line["acts"])
    return not is_heartbeat
