"""The JSON configuration of a gateway in a small deployment of test doubles, and endpoint list events."""

from typing import Any, Protocol

from gullhold.testing import LOOPBACK

# Profiles of commands: name, idempotency, client timeout in s, latency objective in s.
PROFILES = (("read", "pure", 4.0, 0.2), ("mark", "token", 4.0, 1.0), ("once", "side_effect", 4.0, 1.0))


class Addressed(Protocol):
    """A test double of an engine. address: HOST:PORT on which it listens."""

    address: str


def settings(**limits: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; limits: replacements and additions to its "limits"."""
    return {
        "balancers": 1,
        "my_zone": 0,
        "dcs": ["x"],
        "kinds": ["k"],
        "registry_mode": "push",
        "categories": [_category(*profile) for profile in PROFILES],
        "domain": {
            "parallelism": [1, 1, 1],
            "cores_by_kind": [16],
            "ram_of_kind_mb": [65536],
            "grants_count": True,
            "max_grant_share": 0.5,
            "takes_priority": True,
            "note_period": 0.2,
        },
        "limits": {
            "attempts_cap": 6,
            "cancel": True,
            "streams_per_conn": 32,
            "connect_timeout": 0.25,
            "conn_idle": 15.0,
            "max_open": 1000,
        }
        | limits,
        "rules": {"drain_grace": 0.5, "cold_from": 0.3, "warm_after": 1, "fall_multiple": 3, "tip_after": 1},
        "telemetry": {"fields": ["inflight", "x1", "x0"]},
    }


def _category(name: str, idempotency: str, timeout_s: float, target_s: float) -> dict[str, Any]:
    """Return the settings of one profile."""
    return {
        "name": name,
        "aim": target_s,
        "give_up": timeout_s,
        "idempotency": idempotency,
        "value": 1.0,
        "dedup_scope": "all",
        "window": 5.0,
        "late_worth": 0.5,
    }


def endpoint_list_event(
    index: int, *members: tuple[str, str, str], is_complete: bool = False, started_ms: int = 0
) -> dict[str, Any]:
    """Return one event of the endpoint list.

    members: (engine id, address, phase) of each; is_complete: whether the event is the complete list;
    started_ms: the start time of all its members, in Unix ms.
    """
    return {
        "index": index,
        "endpoints": {
            "revision": index,
            "complete": is_complete,
            "members": [_list_entry(*member, started_ms) for member in members],
        },
    }


def _list_entry(engine_id: str, address: str, phase: str, started_ms: int) -> dict[str, Any]:
    """Return the entry of one engine in the endpoint list."""
    return {
        "id": engine_id,
        "host_port": address,
        "locality": "x",
        "flavor": "k",
        "cell": 0,
        "phase": phase,
        "size": 1,
        "up_since_ms": started_ms,
    }


def config(*engines: Addressed, **limits: Any) -> dict[str, Any]:
    """Return the configuration of a gateway with these engines in its list; limits: as in settings()."""
    members = [(f"s-{number}", engine.address, "ready") for number, engine in enumerate(engines)]
    return {
        "name": "n0",
        "listen": f"{LOOPBACK}:0",
        "seed": "ff",
        "settings": settings(**limits),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "coordinator": None,
        "known": {"index": 1, "updates": [endpoint_list_event(1, *members, is_complete=True)]},
    }
