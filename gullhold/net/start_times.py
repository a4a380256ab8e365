"""Start times of engines by the core's clock: the list states Unix time, and the local clock may be off.

The core's clock is Unix time at the start of this process, advanced by the monotonic clock: while the process
runs its error is constant. No watch event reports a start before it happened, so the lowest age at which a
start was ever reported bounds how far the local clock can be ahead. Ages are reduced by that bound: an engine
may be taken for colder than it is, by the shortest delay of a watch event, but never for warmer.
"""

from collections.abc import Sequence
from typing import NamedTuple

from gullhold.interface import EngineEntry

MAX_EVENT_DELAY_US = 10_000_000  # longest delay of a watch event: more than the 7 s that the protocol allows


class StartTime(NamedTuple):
    """When an engine started, in us: as the endpoint list states it, and by the core's clock."""

    listed_us: int
    corrected_us: int


class StartTimes:
    """Corrects the start times that the endpoint list states (us of Unix time, 0: long ago)."""

    def __init__(self) -> None:
        self.clock_lead_us: int | None = None  # bound on how far the local clock is ahead; None: unknown
        self.start_times: dict[int, StartTime] = {}  # by engine
        # By engine: entries of the configuration's list that no watch event has repeated yet.
        self.unconfirmed: dict[int, EngineEntry] = {}

    def correct(self, now: int, entries: Sequence[EngineEntry], is_watch_event: bool) -> list[EngineEntry]:
        """Return these entries with corrected start times, and earlier ones whose times turn out to be wrong.

        is_watch_event: the entries are from a watch event, not from the configuration's list.
        """
        if is_watch_event:
            for entry in entries:
                self._update_clock_lead(now, entry)
        corrected = [self._correct_entry(now, entry, is_watch_event) for entry in entries]
        return corrected + self._correct_unconfirmed(now, {entry.id for entry in entries})

    def forget(self, engine_id: int) -> None:
        """Forget an engine that was removed."""
        self.start_times.pop(engine_id, None)
        self.unconfirmed.pop(engine_id, None)

    def _update_clock_lead(self, now: int, entry: EngineEntry) -> None:
        """Lower the bound on the local clock's lead if an entry of a watch event shows a smaller one."""
        last = self.start_times.get(entry.id)
        is_known = last is not None and last.listed_us == entry.started_us
        if not entry.started_us or is_known:
            return
        age_us = now - entry.started_us
        self.clock_lead_us = age_us if self.clock_lead_us is None else min(self.clock_lead_us, age_us)

    def _correct_unconfirmed(self, now: int, excluded_ids: set[int]) -> list[EngineEntry]:
        """Return the unconfirmed entries of the configuration's list, with their start times corrected.

        Empty unless a watch event has shown that the local clock is off by more than the longest delay of an
        event.
        """
        if (
            not self.unconfirmed
            or self.clock_lead_us is None
            or 0 <= self.clock_lead_us <= MAX_EVENT_DELAY_US
        ):
            return []
        entries = [entry for engine_id, entry in self.unconfirmed.items() if engine_id not in excluded_ids]
        self.unconfirmed = {}
        for entry in entries:
            del self.start_times[entry.id]
        return [self._correct_entry(now, entry, True) for entry in entries]

    def _correct_entry(self, now: int, entry: EngineEntry, is_watch_event: bool) -> EngineEntry:
        listed_us = entry.started_us
        if not listed_us:
            self.forget(entry.id)
            return entry
        clock_lead_us = self.clock_lead_us if is_watch_event and self.clock_lead_us is not None else 0
        start_us = min(now, listed_us + clock_lead_us)
        last = self.start_times.get(entry.id)
        if last is not None and last.listed_us == listed_us:
            # The same start was reported before: a later report may only make its corrected time earlier.
            start_us = min(start_us, last.corrected_us)
        self.start_times[entry.id] = StartTime(listed_us, start_us)
        if is_watch_event:
            self.unconfirmed.pop(entry.id, None)
        else:
            self.unconfirmed[entry.id] = entry
        return entry._replace(started_us=start_us)
