"""Plans of the soak test: troubles, clients and signals of one run. A seed always gives the same plan."""

import signal
from dataclasses import dataclass
from enum import StrEnum
from random import Random

SERVING_S = 1.2  # s from the first request to SIGTERM
CLIENT_TIMEOUTS_S = (0.4, 0.8, 1.5, 3.0)
ENGINES = 3
MAX_SUSPENSION_S = 0.3  # longest suspension of a process by SIGSTOP
# The protocol allows SIGKILL this long after SIGTERM: the longest client timeout, but at most
# MAX_KILL_TIMEOUT_S, and KILL_AFTER_TIMEOUT_S more.
MAX_KILL_TIMEOUT_S = 3.0
KILL_AFTER_TIMEOUT_S = 0.7


class Trouble(StrEnum):
    """What happens to an engine or to the discovery service."""

    HANG = "hang"  # the engine accepts commands and answers nothing more
    DRAIN = "drain"  # the engine is listed as draining, and goes on working
    VANISH = "vanish"  # the engine closes all connections and stops listening
    REPLACE = "replace"  # the engine vanishes, and another one starts cold in its place
    DISCOVERY_AWAY = "discovery away"  # the service closes all connections and stops listening
    DISCOVERY_SILENT = "discovery silent"  # the service stays connected and sends nothing more


ENGINE_TROUBLES = (Trouble.HANG, Trouble.DRAIN, Trouble.VANISH, Trouble.REPLACE)
DISCOVERY_TROUBLES = (Trouble.DISCOVERY_AWAY, Trouble.DISCOVERY_SILENT)


class Crowd(StrEnum):
    """The kind of load by further clients, whose requests are not checked."""

    NONE = "none"
    IDLE = "idle connections"  # connections that only take up the gateway's descriptors
    FLOOD = "flood"  # clients that send a new command as soon as one is answered


@dataclass(frozen=True)
class TroubleAt:
    """A trouble at a time in s from the first request. engine: number of the engine that it concerns."""

    at_s: float
    trouble: Trouble
    engine: int


@dataclass(frozen=True)
class SignalAt:
    """A signal to all gateways, at a time in s from the first request."""

    at_s: float
    number: signal.Signals


@dataclass(frozen=True)
class Plan:
    """The plan of one run.

    clients: number of each gateway's clients; pause_s: time of a client between two requests; leave_chance:
    probability that it closes its connection after a request, with requests open; has_queue: whether the
    gateways have an admission queue.
    """

    seed: int
    gateways: int
    timeout_s: float
    clients: int
    pause_s: float
    leave_chance: float
    has_queue: bool
    crowd: Crowd
    troubles: tuple[TroubleAt, ...]
    signals: tuple[SignalAt, ...]

    @property
    def kill_at_s(self) -> float:
        """Earliest time of SIGKILL, in s from SIGTERM."""
        return min(self.timeout_s, MAX_KILL_TIMEOUT_S) + KILL_AFTER_TIMEOUT_S


def draw_plan(seed: int) -> Plan:
    """Return the plan of a seed."""
    draw = Random(seed)
    timeout_s = draw.choice(CLIENT_TIMEOUTS_S)
    return Plan(
        seed=seed,
        gateways=draw.choice((1, 1, 2)),
        timeout_s=timeout_s,
        clients=draw.randint(3, 8),
        pause_s=draw.choice((0.005, 0.02, 0.05)),
        leave_chance=draw.choice((0.0, 0.01, 0.1)),
        has_queue=draw.random() < 0.4,
        crowd=draw.choice((Crowd.NONE, Crowd.NONE, Crowd.IDLE, Crowd.FLOOD)),
        troubles=_draw_troubles(draw),
        signals=_draw_signals(draw, timeout_s),
    )


def _draw_troubles(draw: Random) -> tuple[TroubleAt, ...]:
    """Return troubles of up to two engines, and in some plans one of the discovery service."""
    engines = draw.sample(range(ENGINES), draw.randint(0, ENGINES - 1))
    latest_s = SERVING_S + 0.3  # later than SIGTERM, so that some come during the shutdown
    troubles = [
        TroubleAt(draw.uniform(0.1, latest_s), draw.choice(ENGINE_TROUBLES), engine) for engine in engines
    ]
    if draw.random() < 0.3:
        troubles.append(TroubleAt(draw.uniform(0.1, latest_s), draw.choice(DISCOVERY_TROUBLES), 0))
    return tuple(sorted(troubles, key=lambda trouble: trouble.at_s))


def _draw_signals(draw: Random, timeout_s: float) -> tuple[SignalAt, ...]:
    """Return SIGTERM, and in some plans a second one, series of other signals, and a suspension."""
    signals = [SignalAt(SERVING_S, signal.SIGTERM)]
    if draw.random() < 0.5:
        signals.append(SignalAt(SERVING_S + draw.uniform(0.0, 0.5), signal.SIGTERM))
    for number in (signal.SIGHUP, signal.SIGUSR1):
        if draw.random() < 0.5:
            at_s = draw.uniform(0.1, SERVING_S + timeout_s)
            signals += [SignalAt(at_s + 0.02 * each, number) for each in range(draw.randint(1, 5))]
    if draw.random() < 0.3:
        at_s = draw.uniform(0.2, SERVING_S - MAX_SUSPENSION_S - 0.1)
        signals.append(SignalAt(at_s, signal.SIGSTOP))
        signals.append(SignalAt(at_s + draw.uniform(0.05, MAX_SUSPENSION_S), signal.SIGCONT))
    return tuple(sorted(signals, key=lambda each: each.at_s))
