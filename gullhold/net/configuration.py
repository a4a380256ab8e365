"""Reads the configuration of a gateway process from its JSON file, and checks that it is complete."""

import json
import os
from typing import TYPE_CHECKING, Any, NamedTuple

from gullhold.agreement import read_agreement
from gullhold.interface import Agreement
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.engine_ids import EngineIds
from gullhold.net.list_change import ListChange, parse_event

if TYPE_CHECKING:  # slow to import; needed only if there is an operator file
    from gullhold.operator.records import OperatorFile

MEGABYTE_SHIFT = 20  # 1 MB is 1 << 20 bytes
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
LISTEN_VARIABLE = "GW_LISTEN"  # environment variable that overrides the listen address of the file


class ConfigurationError(Exception):
    """A configuration or operator file can't be used; the message is a single line."""


class Configuration(NamedTuple):
    """The contents of a configuration file.

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
    """Load the configuration file at a path. Raises ConfigurationError."""
    if not path:
        raise ConfigurationError("no configuration file: pass --config or set GW_CONFIG")
    try:
        with open(path, encoding="utf-8") as file:
            return _parse(json.load(file))
    except (OSError, ValueError, KeyError, TypeError, AttributeError, ProtocolError) as error:
        raise ConfigurationError(f"configuration {path} can't be used: {error!r}") from None


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
    """Load the operator file at a path; None if no path is given. Raises ConfigurationError."""
    if not path:
        return None
    try:
        from gullhold.operator import records  # noqa: PLC0415  slow to import: only if there is such a file
    except ImportError as error:
        raise ConfigurationError(
            f"an operator file needs the packages of requirements-full.txt: {error}"
        ) from None
    try:
        return records.load(path)
    except (OSError, records.OperatorFileError) as error:
        raise ConfigurationError(str(error)) from None
