"""The configuration of one gateway process, read from its JSON file and checked for what serving needs."""

import json
import os
from typing import TYPE_CHECKING, Any, NamedTuple

from gullhold.agreement import read_agreement
from gullhold.interface import Agreement
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.engine_ids import EngineIds
from gullhold.net.list_change import ListChange, parse_event

if TYPE_CHECKING:  # heavy, and needed only where there is an operator file
    from gullhold.operator.records import OperatorFile

MEGABYTE_SHIFT = 20  # bits by which megabytes are shifted to bytes
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
LISTEN_VARIABLE = "GW_LISTEN"  # takes precedence over the file's address


class ConfigurationError(Exception):
    """A configuration or operator file that can't be used; the message is one plain line."""


class Configuration(NamedTuple):
    """What a configuration file states.

    list_changes: the endpoint list at the start; engine_ids: the ids given to the engines' names so far;
    last_event_index: the index of the last event in that list; discovery_address: HOST:PORT of the discovery
    service, None: the list never changes.
    """

    agreement: Agreement
    engine_ids: EngineIds
    list_changes: list[ListChange]
    last_event_index: int
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
    engine_ids = EngineIds()
    known = tree.get("known") or {}
    list_changes = [parse_event(event, agreement, engine_ids) for event in known.get("updates", ())]
    limits = tree.get("limits") or {}
    return Configuration(
        agreement=agreement,
        engine_ids=engine_ids,
        list_changes=list_changes,
        last_event_index=int(known.get("index", 0)),
        seed=int(str(tree.get("seed", "0")), 16),
        discovery_address=tree.get("coordinator"),
        listen_address=os.environ.get(LISTEN_VARIABLE) or tree["listen"],
        name=tree.get("name", ""),
        memory_bytes=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)) << MEGABYTE_SHIFT,
        max_sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
    )


def load_operator_file(path: str | None) -> "OperatorFile | None":
    """Return the operator file at a path, None where no path is given. Raises ConfigurationError."""
    if not path:
        return None
    try:
        from gullhold.operator import records  # noqa: PLC0415  heavy: only where there is such a file
    except ImportError as error:
        raise ConfigurationError(
            f"an operator file needs the libraries of requirements-full.txt: {error}"
        ) from None
    try:
        return records.load(path)
    except (OSError, records.OperatorFileError) as error:
        raise ConfigurationError(str(error)) from None
