"""When engines started, by the core's clock: what is told is Unix time, and this machine's clock may be off.

The time of the core is Unix time as this process began, gone on by the monotonic clock: off by one constant
for the life of the process. A start is never told before it happened: the least age at which one was
ever told as news is the most that our clock can be ahead. Ages are taken to be less by that: an engine may be
held colder than it is, by the shortest delay of the news, and never warmer.
"""

PLAUSIBLE_US = 10_000_000  # us that news may take: over the 7 s of the protocol


class StartTimes:
    """Corrects the starts (us of Unix time, 0: not a late one) of engines as the list tells them."""

    def __init__(self):
        self.ahead_us = None  # the most that our clock is ahead of who tells of starts; None: unknown
        self.told, self.rows = {}, {}  # by engine: (start as told, as corrected); entries not told as news

    def corrected(self, now, entries, news):
        """These entries, and others that they show to be wrong. news: not of a configuration's list."""
        for entry in entries if news else ():
            started = entry.started_us
            if started and self.told.get(entry.id, (0,))[0] != started:
                ahead_us = now - started
                self.ahead_us = ahead_us if self.ahead_us is None else min(self.ahead_us, ahead_us)
        found = [self._entry(now, entry, news) for entry in entries]
        return found + self._unchecked(now, {entry.id for entry in entries})

    def forget(self, ident):
        """The engine is gone."""
        self.told.pop(ident, None)
        self.rows.pop(ident, None)

    def _unchecked(self, now, but):
        """Entries of the configuration's list with their starts corrected, once news shows that our clock is
        off by more than news takes."""
        if not self.rows or self.ahead_us is None or 0 <= self.ahead_us <= PLAUSIBLE_US:
            return []
        rows, self.rows = [row for ident, row in self.rows.items() if ident not in but], {}
        for row in rows:
            del self.told[row.id]
        return [self._entry(now, row, True) for row in rows]

    def _entry(self, now, entry, news):
        ident, born = entry.id, entry.started_us
        if not born:
            self.forget(ident)
            return entry
        start = min(now, born + (self.ahead_us or 0 if news else 0))
        last, corrected = self.told.get(ident, (0, 0))
        if last == born:  # the same start, told again: what is known since can only make it older
            start = min(start, corrected)
        self.told[ident] = born, start
        if news:
            self.rows.pop(ident, None)
        else:
            self.rows[ident] = entry
        return entry._replace(started_us=start)
