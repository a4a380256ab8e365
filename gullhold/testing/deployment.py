"""The file that a gateway is started with, for a small deployment of stand-ins.

The settings tree and the list's events are written in the platform's words, as the gateway reads them.
"""

from gullhold.testing import LOOPBACK


def settings(**other):
    """The settings tree of a small deployment."""
    kinds = (("read", "pure", 4.0, 0.2), ("mark", "token", 4.0, 1.0), ("once", "side_effect", 4.0, 1.0))
    return {
        "balancers": 1,
        "my_zone": 0,
        "dcs": ["x"],
        "kinds": ["k"],
        "registry_mode": "push",
        "categories": [
            {
                "name": name,
                "aim": aim,
                "give_up": late,
                "idempotency": effect,
                "value": 1.0,
                "dedup_scope": "all",
                "window": 5.0,
                "late_worth": 0.5,
            }
            for name, effect, late, aim in kinds
        ],
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
        | other,
        "rules": {"drain_grace": 0.5, "cold_from": 0.3, "warm_after": 1, "fall_multiple": 3, "tip_after": 1},
        "telemetry": {"fields": ["inflight", "x1", "x0"]},
    }


def event(index, *members, whole=False, started_ms=0):
    """One event of the coordinator; started_ms: of all its members."""
    return {
        "index": index,
        "endpoints": {
            "revision": index,
            "complete": whole,
            "members": [
                {
                    "id": ident,
                    "host_port": address,
                    "locality": "x",
                    "flavor": "k",
                    "cell": 0,
                    "phase": phase,
                    "size": 1,
                    "up_since_ms": started_ms,
                }
                for ident, address, phase in members
            ],
        },
    }


def config(*engines, **other):
    """A configuration that knows these engines."""
    members = [(f"s-{i}", engine.address, "ready") for i, engine in enumerate(engines)]
    return {
        "name": "n0",
        "listen": f"{LOOPBACK}:0",
        "seed": "ff",
        "settings": settings(**other),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "coordinator": None,
        "known": {"index": 1, "updates": [event(1, *members, whole=True)]},
    }
