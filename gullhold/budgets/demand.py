"""How much of what a member asks for is believed, and how much a member asks for. Decisions only."""

AHEAD = 4  # a member asks for a quarter more than it uses: before it runs dry
PATIENCE_US = 2_000_000  # us for which a part may lie mostly idle while more is asked: some reports
IDLE = 2  # a part is mostly idle where the part over this is more than what is used
SWING = 0.1  # of what was told: a change by less is not worth a write
STALE_US = 2_000_000  # us after which changed use is told though it moves nothing: staff look at it


def wanted(used, lack, whole):
    """What a member asks for: what it uses, some more for what may come, and what it lacks now."""
    return min(whole, used + -(-used // AHEAD) + lack)


class Word:
    """What one member says of one budget, as the divider keeps it. Times in us of the divider's clock."""

    __slots__ = ("idle_since", "used", "want")

    def __init__(self):
        self.want, self.used, self.idle_since = 0, 0, None

    def heard(self, used, want, part, now):
        """A report."""
        self.used, self.want = used, want
        self.look(part, now)

    def look(self, part, now):
        """Its part has changed, or time has passed: since when it lies idle."""
        if self.used * IDLE >= part or self.want <= part:
            self.idle_since = None
        elif self.idle_since is None:
            self.idle_since = now

    def believed(self, now):
        """Guards against one that asks for all and spends nothing: after a while it is believed only as far
        as it spends."""
        if self.idle_since is None or now < self.idle_since + PATIENCE_US:
            return self.want
        return min(self.want, IDLE * self.used)

    def due(self):
        """When belief may end; None: not while it says the same."""
        return None if self.idle_since is None else self.idle_since + PATIENCE_US


class Teller:
    """When a member's report is worth a write. Its first word is; then what changes what others may have."""

    def __init__(self, least_us):
        self.least_us = least_us  # between writes
        self.last, self.seen, self.at = None, 0, 0

    def forget(self):
        """Under a new lease nothing has been told."""
        self.last, self.seen = None, 0

    def worth(self, now, seen, cut, told, parts):
        """Whether to write now: seen: the newest write of parts that it goes by; cut: whether one since the
        last report lowered anything; told: {budget: (out, used, want)}; parts: {budget: part}.

        Use that changed and asks for nothing else is told after a while: guards against a register that shows
        the use before a rush for as long as the rush lasts. Price: a write in that time at most.
        """
        if self.last is not None and now < self.at + self.least_us:
            return False
        stale = now >= self.at + STALE_US
        return (
            self.last is None
            or cut
            and seen > self.seen
            or set(told) != set(self.last)
            or any(
                self._differs(row, self.last[name], parts.get(name, 0))
                or stale
                and abs(row[1] - self.last[name][1]) > SWING * max(self.last[name][1], parts.get(name, 0))
                for name, row in told.items()
            )
        )

    def written(self, now, seen, told):
        """It goes out."""
        self.last, self.seen, self.at = dict(told), seen, now

    @staticmethod
    def _differs(new, old, part):
        (out, used, want), (old_out, old_used, old_want) = new, old
        if out < old_out and old_out > part:  # given back at last
            return True
        if want > part and (used * IDLE >= part) != (old_used * IDLE >= part):
            return True
        return abs(want - old_want) > SWING * max(old_want, part)
