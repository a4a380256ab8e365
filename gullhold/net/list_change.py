"""Changes of the endpoint list: parses watch events of the discovery service, and batches them."""

from math import isfinite
from typing import Any, NamedTuple

from gullhold.agreement import index_of
from gullhold.interface import Agreement, EngineEntry, EngineState
from gullhold.net import US_PER_MS, split_host_port
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.engine_ids import EngineIds

STATES_BY_PHASE = {
    "ready": EngineState.READY,
    "draining": EngineState.DRAINING,
    "gone": EngineState.REMOVED,
}
DEFAULT_WEIGHT = 1.0  # weight of an engine whose entry states none


class ListChange(NamedTuple):
    """A change of the endpoint list, in the order of the arguments of Core.list_changed().

    addresses: HOST:PORT by engine id, for entries that state one; is_complete: this is the complete list, so
    engines without an entry are removed.
    """

    entries: list[EngineEntry]
    addresses: dict[int, str]
    is_complete: bool


PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)  # of malformed content


def parse_event(
    event: dict[str, Any],
    agreement: Agreement,
    engine_ids: EngineIds,
    unreadable: list[str] | None = None,
) -> ListChange:
    """Parse a watch event and free the ids of engines that it removes. Raises ProtocolError.

    unreadable: engines that can't be read are left out, and a reason for each is added to this list; by
    default they raise ProtocolError.
    """
    entries: list[EngineEntry] = []
    addresses: dict[int, str] = {}
    try:
        change = event["endpoints"]
        for member in change["members"]:
            try:
                entry, address = _parse_member(member, agreement, engine_ids)
            except PARSE_ERRORS as error:
                if unreadable is None:
                    raise
                unreadable.append(f"engine {str(member)[:100]}: {error!r}")
                continue
            entries.append(entry)
            if address:
                addresses[entry.id] = address
        return ListChange(entries, addresses, bool(change.get("complete")))
    except PARSE_ERRORS as error:
        raise ProtocolError(f"malformed watch event: {error!r}") from None


def _parse_member(
    member: dict[str, Any], agreement: Agreement, engine_ids: EngineIds
) -> tuple[EngineEntry, str]:
    """Return the entry of an engine and its HOST:PORT, empty if none is stated."""
    address = ""
    if member.get("host_port"):
        host, port = split_host_port(member["host_port"])
        address = f"{host}:{port}"
    weight = float(member.get("size") or DEFAULT_WEIGHT)
    if not isfinite(weight) or weight < 0:
        raise ValueError(f"size {weight} is not a number from 0 on")
    entry = EngineEntry(
        id=engine_ids.id_for(member["id"]),
        zone=index_of(agreement.zone_names, str(member.get("locality", ""))),
        weight=weight,
        kind=index_of(agreement.kind_names, str(member.get("flavor", ""))),
        state=STATES_BY_PHASE[member["phase"]],
        cell=int(member.get("cell") or 0),
        started_us=int(member.get("up_since_ms") or 0) * US_PER_MS,
    )
    if entry.state == EngineState.REMOVED:
        engine_ids.forget(member["id"])
    return entry, address


class ListChangeBatch:
    """Consecutive changes of the endpoint list that are applied in one call."""

    def __init__(self) -> None:
        self.entries: list[EngineEntry] = []
        self.addresses: dict[int, str] = {}
        self.is_complete = False
        self.last_index = 0
        self.event_count = 0
        self._engine_ids: set[int] = set()

    def must_precede(self, change: ListChange) -> bool:
        """Whether the batch must be applied before this change, not together with it.

        It must be if the change is a complete list, or if both concern the same engine, as the states of an
        engine are applied one by one.
        """
        return change.is_complete or any(entry.id in self._engine_ids for entry in change.entries)

    def add(self, change: ListChange, index: int) -> None:
        """Append the change of the event with this index."""
        self.entries += change.entries
        self.addresses.update(change.addresses)
        self._engine_ids.update(entry.id for entry in change.entries)
        self.is_complete = change.is_complete
        self.last_index = index
        self.event_count += 1
