"""Ends of wires: what writes there, and what is told of what comes."""

from bisect import bisect_right

from gullhold.simulation.streams import DuplexStream, StreamEnd


class End:
    """One end of a wire. Keeps what the wire has no room for; owner: hears(end, data), is_left(end, how)."""

    def __init__(self, clock, owner):
        self.clock, self.owner, self.out = clock, owner, None
        self.kept, self.finishing, self.over = bytearray(), False, False
        self.size, self.starts, self.times = 0, [], []  # of all that was written: bytes; when which began

    def write(self, data):
        """Queue these bytes; BrokenPipeError where this side has ended."""
        if self.finishing or self.out.over:
            raise BrokenPipeError
        self.starts.append(self.size)
        self.times.append(self.clock.now)
        self.size += len(data)
        self.kept += data
        self.room()

    def written_at(self, offset):
        """When the byte at this offset was written."""
        return self.times[bisect_right(self.starts, offset) - 1]

    def finish(self, how=StreamEnd.CLOSED):
        """Nothing more is written; closed: after what is kept, reset: at once and all is lost."""
        self.finishing = True
        if how == StreamEnd.RESET:
            self.kept.clear()
            self.out.finish(StreamEnd.RESET)
        else:
            self.room()

    def room(self):
        """The wire takes more."""
        while self.kept and not self.out.over:
            taken = self.out.write(bytes(self.kept))
            if not taken:
                return
            del self.kept[:taken]
        if self.finishing and not self.kept:
            self.out.finish(StreamEnd.CLOSED)

    def came(self, data):
        """Bytes of the other side."""
        if not self.over:
            self.owner.hears(self, data)

    def ended(self, how):
        """The other side has ended."""
        if not self.over:
            self.over = True
            self.owner.is_left(self, how)


def join(clock, chance, near, far, there, back):
    """The wire between two ends; there, back: the conditions of its directions."""
    wire = DuplexStream(clock, chance, near, far, there, back)
    near.out, far.out = wire.there, wire.back
    return wire
