"""The stored records of one scheduled command, as last read or written. Times are Unix us."""

from collections.abc import Iterable

from gullhold.fleet.occurrence import Occurrence
from gullhold.fleet.store_calls import Condition, Delete, KeyValue, Operation, Put
from gullhold.fleet.store_schema import (
    HANDLED_UNTIL_KEY,
    OCCURRENCES_PREFIX,
    decode_occurrence,
    encode_occurrence,
    occurrence_key,
)

# Settled (final) occurrences that stay in the store, for operators and the next leader.
MAX_SETTLED_RECORDS = 20


class OccurrenceRecords:
    """The occurrences of one command that have a record, and the revisions of the records' keys.

    by_due_time: occurrences in the order in which they were read or first written. handled_until: no due time
    up to this is begun any more; it is the last one that got a record, or the time at which the command was
    first seen, or 0 if that is not stored yet.
    """

    def __init__(self, prefix: str) -> None:
        """prefix: the start of all the command's keys in the store."""
        self.prefix = prefix
        self.handled_until = 0
        self.by_due_time: dict[int, Occurrence] = {}
        self._revisions: dict[int, int] = {}  # revisions of the records' keys, by due time

    def load(self, items: Iterable[KeyValue]) -> None:
        """Replace everything by the keys read from the store; records that are not valid are left out."""
        self.handled_until = 0
        self.by_due_time = {}
        self._revisions = {}
        for item in items:
            name = item.key.removeprefix(self.prefix)
            occurrence = decode_occurrence(item.value) if name.startswith(OCCURRENCES_PREFIX) else None
            if name == HANDLED_UNTIL_KEY:
                self.handled_until = int(item.value)
            elif occurrence:
                self._set(occurrence, item.revision)

    def written(self, occurrence: Occurrence, revision: int) -> None:
        """Record that the occurrence was written. revision: its key's revision."""
        self._set(occurrence, revision)
        self.handled_until = max(self.handled_until, occurrence.due_us)

    def _set(self, occurrence: Occurrence, revision: int) -> None:
        self.by_due_time[occurrence.due_us] = occurrence
        self._revisions[occurrence.due_us] = revision

    def has_open(self) -> bool:
        """Whether any occurrence is open: further attempts may follow."""
        return any(occurrence.is_open for occurrence in self.by_due_time.values())

    def write_operations(self, occurrence: Occurrence | None, handled_until: int) -> list[Operation]:
        """The operations that write an occurrence, if any, move handled_until and delete surplus records."""
        operations: list[Operation] = [
            Delete(occurrence_key(self.prefix, due_us)) for due_us in self._surplus()
        ]
        if occurrence:
            key = occurrence_key(self.prefix, occurrence.due_us)
            operations.append(Put(key, encode_occurrence(occurrence)))
        if handled_until > self.handled_until:
            operations.append(Put(self.prefix + HANDLED_UNTIL_KEY, str(handled_until)))
        return operations

    def unchanged_condition(self, occurrence: Occurrence) -> Condition:
        """The condition that the occurrence's record in the store is unchanged, or does not exist yet."""
        key = occurrence_key(self.prefix, occurrence.due_us)
        return key, self._revisions.get(occurrence.due_us, 0)

    def drop_surplus(self) -> None:
        """Forget the records that the write just confirmed has deleted; to be called before written()."""
        for due_us in self._surplus():
            del self.by_due_time[due_us]
            del self._revisions[due_us]

    def _surplus(self) -> list[int]:
        """Due times of the settled occurrences except the MAX_SETTLED_RECORDS latest."""
        settled = sorted(due_us for due_us, occurrence in self.by_due_time.items() if not occurrence.is_open)
        return settled[:-MAX_SETTLED_RECORDS]
