"""Start times of engines by the core's clock: the list states Unix time, and our wall clock may be off.

The core's clock is Unix time at the start of this process, advanced by the monotonic clock: it is off by one
constant while the process runs. No watch event reports a start before it happened, so the lowest age at which
one was ever reported bounds how far our clock can be ahead. Ages are reduced by that bound: an engine may be
taken for colder than it is, by the shortest delay of a watch event, and never for warmer.
"""

from collections.abc import Sequence
from typing import NamedTuple

from gullhold.interface import EngineEntry

MAX_NEWS_DELAY_US = 10_000_000  # delay of a watch event: over the 7 s of the protocol


class StartTime(NamedTuple):
    """When an engine started, in us: as the list states it, and by our clock."""

    listed_us: int
    corrected_us: int


class StartTimes:
    """Corrects the start times (us of Unix time, 0: long ago) that the list states."""

    def __init__(self) -> None:
        self.clock_lead_us: int | None = None  # bound on how far our clock is ahead; None: unknown
        self.start_times: dict[int, StartTime] = {}  # by engine
        self.unconfirmed: dict[int, EngineEntry] = {}  # by engine: entries that were in no watch event

    def correct(self, now: int, entries: Sequence[EngineEntry], is_news: bool) -> list[EngineEntry]:
        """Return these entries with their starts corrected, and others that they show to be wrong.

        is_news: the entries are from a watch event, not from the configuration's list.
        """
        if is_news:
            for entry in entries:
                self._learn(now, entry)
        found = [self._correct_entry(now, entry, is_news) for entry in entries]
        return found + self._correct_unconfirmed(now, {entry.id for entry in entries})

    def forget(self, engine_id: int) -> None:
        """Forget an engine that was removed."""
        self.start_times.pop(engine_id, None)
        self.unconfirmed.pop(engine_id, None)

    def _learn(self, now: int, entry: EngineEntry) -> None:
        """Tighten the bound on our clock's lead by an entry of a watch event."""
        last = self.start_times.get(entry.id)
        is_known = last is not None and last.listed_us == entry.started_us
        if not entry.started_us or is_known:
            return
        age_us = now - entry.started_us
        self.clock_lead_us = age_us if self.clock_lead_us is None else min(self.clock_lead_us, age_us)

    def _correct_unconfirmed(self, now: int, excluded_ids: set[int]) -> list[EngineEntry]:
        """Return the entries of the configuration's list with their start times corrected.

        Only once a watch event shows that our clock is off by more than such an event can be late.
        """
        if not self.unconfirmed or self.clock_lead_us is None or 0 <= self.clock_lead_us <= MAX_NEWS_DELAY_US:
            return []
        entries = [entry for engine_id, entry in self.unconfirmed.items() if engine_id not in excluded_ids]
        self.unconfirmed = {}
        for entry in entries:
            del self.start_times[entry.id]
        return [self._correct_entry(now, entry, True) for entry in entries]

    def _correct_entry(self, now: int, entry: EngineEntry, is_news: bool) -> EngineEntry:
        listed_us = entry.started_us
        if not listed_us:
            self.forget(entry.id)
            return entry
        clock_lead_us = self.clock_lead_us if is_news and self.clock_lead_us is not None else 0
        start_us = min(now, listed_us + clock_lead_us)
        last = self.start_times.get(entry.id)
        if last is not None and last.listed_us == listed_us:
            # The same start again: what is known since can only make it earlier.
            start_us = min(start_us, last.corrected_us)
        self.start_times[entry.id] = StartTime(listed_us, start_us)
        if is_news:
            self.unconfirmed.pop(entry.id, None)
        else:
            self.unconfirmed[entry.id] = entry
        return entry._replace(started_us=start_us)
