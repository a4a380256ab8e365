"""Byte streams on virtual time: slow, uneven, cut, reset, silent or full, as networks are.

A Stream is one direction; a Wire is two, between ends that are told what comes: came(data), ended(how).
"""

from collections import deque

CLOSED, RESET = "closed", "reset"  # how the other side's part of a wire ended


class Way:
    """How one direction behaves; all may be changed while it is in use. Times in us, sizes in bytes.

    delay_us, jitter_us: of each piece; piece: the most that arrives at once, 0: all; window: what may be
    under way before a writer is held back; silent: nothing arrives, and nobody is told.
    """

    def __init__(self, delay_us=100, jitter_us=0, piece=0, window=65_536, silent=False):
        self.delay_us, self.jitter_us, self.piece = delay_us, jitter_us, piece
        self.window, self.silent = window, silent


class Stream:
    """One direction. write() takes what the window allows, as a socket does; order is kept at any jitter."""

    def __init__(self, clock, chance, way, came, ended, room):
        self.clock, self.chance, self.way = clock, chance, way
        self.came, self.ended, self.room = came, ended, room
        self.under_way, self.last_at, self.kept, self.held = 0, 0, deque(), False
        self.over, self.lost = False, False  # nothing more is written; what is under way does not arrive

    def write(self, data):
        """So many bytes of it were taken; 0: the window is full, room() is called when it is not any more."""
        if self.over:
            raise BrokenPipeError
        taken = data[: max(0, self.way.window - self.under_way)]
        self.held = len(taken) < len(data)
        size = self.way.piece or len(taken) or 1
        for at in range(0, len(taken), size):
            self._send(taken[at : at + size])
        return len(taken)

    def finish(self, how=CLOSED):
        """Nothing more is written. Closed: after what is under way; reset: what is under way is lost."""
        if self.over:
            return
        self.over, self.lost = True, how == RESET
        self._post(how)

    def heal(self):
        """No longer silent: what was kept arrives."""
        self.way.silent = False
        while self.kept:
            self._schedule(self.kept.popleft())

    def _send(self, piece):
        self.under_way += len(piece)
        self._post(piece)

    def _post(self, what):
        (self.kept.append if self.way.silent and what != RESET else self._schedule)(what)

    def _schedule(self, what):
        way = self.way
        self.last_at = max(self.last_at, self.clock.now + way.delay_us + int(way.jitter_us * self.chance()))
        self.clock.at(self.last_at, self._arrive, what)

    def _arrive(self, what):
        if self.way.silent and what != RESET:
            self.kept.append(what)
            return
        if isinstance(what, str):
            self.ended(what)
            return
        if self.lost:
            return
        self.under_way -= len(what)
        self.came(what)
        if self.held and self.under_way < self.way.window:
            self.held = False
            self.room()


class Wire:
    """Two directions between two ends, each with came(data), ended(how) and room()."""

    def __init__(self, clock, chance, near, far, there=None, back=None):
        self.there = Stream(clock, chance, there or Way(), far.came, far.ended, near.room)
        self.back = Stream(clock, chance, back or Way(), near.came, near.ended, far.room)

    def reset(self):
        """Both ends are told, what is under way is lost."""
        for stream in (self.there, self.back):
            stream.finish(RESET)

    def silence(self):
        """The machine at the other end has vanished, or the path: nothing arrives, nobody is told."""
        self.there.way.silent = self.back.way.silent = True

    def heal(self):
        """All passes again."""
        self.there.heal()
        self.back.heal()
