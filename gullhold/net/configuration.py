"""The configuration of one gateway process, read from its JSON file and checked for what serving needs."""

import json
import os
from dataclasses import dataclass
from typing import Any

from gullhold.agreement import read_agreement
from gullhold.interface import Agreement
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.discovery import Names, members

MEGABYTE_SHIFT = 20  # bits by which megabytes are shifted to bytes
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
LISTEN_VARIABLE = "GW_LISTEN"  # overrules the file's address


class ConfigurationError(Exception):
    """A configuration or operator file that can't be used; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """What a configuration file states.

    list_changes: the endpoint list at the start, as arguments of Core.begin(); engine_ids: the numbers given
    to the engines' names so far; last_event: the number of the list's last event; discovery_address: None:
    the list never changes.
    """

    agreement: Agreement
    engine_ids: Names
    list_changes: list
    last_event: int
    seed: int
    discovery_address: str | None
    listen_address: str
    name: str
    memory_bytes: int
    max_sockets: int


def load_configuration(path: str | None) -> Configuration:
    """The configuration at a path. Raises ConfigurationError."""
    if not path:
        raise ConfigurationError("GW_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            return _parse(json.load(file))
    except (OSError, ValueError, KeyError, TypeError, AttributeError, ProtocolError) as error:
        raise ConfigurationError(f"configuration {path}: {error!r}") from None


def _parse(tree: dict[str, Any]) -> Configuration:
    agreement = read_agreement(tree["settings"])
    engine_ids = Names()
    known = tree.get("known") or {}
    list_changes = [members(event, agreement, engine_ids) for event in known.get("updates", ())]
    limits = tree.get("limits") or {}
    return Configuration(
        agreement=agreement,
        engine_ids=engine_ids,
        list_changes=list_changes,
        last_event=int(known.get("index", 0)),
        seed=int(str(tree.get("seed", "0")), 16),
        discovery_address=tree.get("coordinator"),
        listen_address=os.environ.get(LISTEN_VARIABLE) or tree["listen"],
        name=tree.get("name", ""),
        memory_bytes=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)) << MEGABYTE_SHIFT,
        max_sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
    )
