"""What the owner of a duty knows of its keys: read whole, followed from there, written one call at a time.

Decisions only. A duty's own part says what to make of what was read, of what changed, and what is next.
"""

from itertools import count

from gullhold.fleet.calls import DONE

READ, WRITE, FOLLOW, TELL = range(4)  # what it hands out
IDLE_US = 2_000_000  # us between steps while nothing is told: all that comes makes a step
AGAIN_US = 200_000  # us until the next try after a reply that proves nothing


class Holder:
    """A duty while we own it. Everything it wants done is in take(); due() is when to step(). Times are us of
    a monotonic clock.

    Handed out: (READ, serial, prefix), answered by read(); (WRITE, serial, token, acts, when), answered by
    written(); (FOLLOW, revision): changes of its keys from there on, to changed(); (TELL, level, text,
    facts).

    A kind of duty has _load(now, reply): what was read; _change(now, key, value, revision): whether that
    matters; _next(now), which may _write(); _next_at(now): when it would at the latest, or None;
    _kept(reply): whether it still knows what stands after a write that was carried out.
    """

    def __init__(self, root):
        self.root, self.token, self.out, self.serials = root, 0, [], count(1)
        self.reading, self.writing = None, None  # serials of the calls under way
        self.again_at, self.loaded = 0, False
        self.newest = self.known = 0  # revision that we were told of: now, and when a read was asked for
        self.early = []  # changes that came before the reply to READ: it may not show them

    def take(self):
        """What is to be done now, in order."""
        out, self.out = self.out, []
        return out

    def won(self, token, now):
        """The duty is ours, under this token."""
        self.token, self.serials, self.writing, self.reading = token, count(1), None, None
        self.loaded, self.again_at = False, 0
        self.step(now)

    def lost(self):
        """The duty is not surely ours: nothing is written."""
        self.token, self.loaded, self.writing, self.reading = 0, False, None, None

    def due(self, now):
        """When to step at the latest."""
        if not self.token or self.reading or self.writing:
            return now + IDLE_US
        if not self.loaded:
            return max(now, self.again_at)
        at = self._next_at(now)
        return now + IDLE_US if at is None else max(now, at, self.again_at)

    def step(self, now):
        """Do what is next, if nothing is under way."""
        if not self.token or self.reading or self.writing or now < self.again_at:
            return
        if self.loaded:
            self._next(now)
        else:
            self.reading, self.early, self.known = (self.token, next(self.serials)), [], self.newest
            self.out.append((READ, self.reading, self.root))

    def _write(self, acts, when):
        self.writing = (self.token, next(self.serials))
        self.out.append((WRITE, self.writing, self.token, tuple(acts), when))

    def written(self, now, serial, reply):
        """The reply to a WRITE; where it leaves open what stands, all is read anew."""
        if self.writing != serial:
            return
        self.writing = None
        if reply.proof == DONE:
            self.newest = max(self.newest, reply.revision)
        else:
            self.again_at = now + AGAIN_US
        self.loaded = reply.proof == DONE and self._kept(reply) and self.loaded
        self.step(now)

    def read(self, now, serial, reply):
        """The reply to READ."""
        if not self.token or self.reading != serial:
            return
        self.reading = None
        # Guards against a read from the past: what it does not show is not told again.
        if reply.proof != DONE or reply.revision < self.known:
            self.again_at = now + AGAIN_US
            return
        self.newest, self.loaded = max(self.newest, reply.revision), True
        self._load(now, reply)
        self.out.append((FOLLOW, reply.revision + 1))
        for change in self.early:
            self.changed(now, *change)
        self.step(now)

    def changed(self, now, key, value, revision):
        """A key changed; value None: it is gone."""
        self.newest = max(self.newest, revision)
        if self.reading:
            self.early.append((key, value, revision))
        if self.loaded and self._change(now, key, value, revision):
            self.step(now)

    def missed(self, now):
        """Changes were missed: all is read anew."""
        self.loaded = False
        self.step(now)
