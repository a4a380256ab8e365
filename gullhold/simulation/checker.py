"""Judges a rehearsal by what passed on its streams alone; it shares no bookkeeping with what it judges.

Rules: one answer to each command, in time, its rows whole; no further send of what must not run twice, or of
a marked command outside its window; never two sends out at once; no more sends than the cap; nothing new to
an engine that left, nor for a client that left, after the grace of each. Times in us.
"""

from collections import defaultdict
from hashlib import sha256

from gullhold.simulation.peers import pages_of, rows

GRACE_US = 550_000  # from the word that an engine leaves to the last send that may begin, with slack
GONE_US = 100_000  # from the news that a client left to the last send that may begin for it
SLACK_US = 50_000  # on sockets, beyond a client timeout


class Asked:
    """One command as its client sees it."""

    def __init__(self, at, client, verb, limit_us):
        self.at, self.client, self.verb, self.until = at, client, verb, at + limit_us
        self.sends, self.answers, self.left_at, self.void = [], 0, None, False


class Send:
    """One send as it came to an engine; ran: not turned away."""

    def __init__(self, at, engine, conn, ran):
        self.at, self.engine, self.conn, self.ran, self.over = at, engine, conn, ran, not ran

    def out(self):
        """Whether it still is: not ended here, and its gateway has not closed the connection."""
        return not self.over and not self.conn.near.finishing


class Checker:
    """What was seen so far, and the rules that broke: (time, rule, text)."""

    def __init__(self, world, sends_cap, window_us):
        self.world, self.cap, self.window_us = world, sends_cap, window_us
        self.commands, self.broken, self.leaving = {}, [], {}
        self.hash, self.counts = sha256(), defaultdict(int)

    def seen(self, *what):
        """Into the trace."""
        self.hash.update(repr(what).encode())
        self.counts[what[1]] += 1

    def breaks(self, at, rule, text):
        """A rule broke."""
        self.broken.append((at, rule, text))

    def told(self, at, member, ident, phase):
        """A gateway was told of an engine's state."""
        self.seen(at, "told", member.name, ident, phase)
        if phase == "ready":
            self.leaving.pop((member.name, ident), None)
        else:
            self.leaving.setdefault((member.name, ident), at)

    def asked(self, at, client, txn, verb, limit_us):
        """A client wrote a command."""
        self.seen(at, "asked", txn, verb)
        self.commands[txn] = Asked(at, client, verb, limit_us)

    def fetched(self, at, written_at, engine, conn, txn, mark, ran):
        """A send came whole to an engine."""
        self.seen(at, "fetched", engine.id, txn, ran)
        cmd = self.commands[txn]
        earlier = [send for send in cmd.sends if send.ran]
        if any(send.out() for send in cmd.sends):
            self.breaks(at, "two at once", f"{txn} at {engine.id}")
        if earlier and cmd.verb == b"once":
            self.breaks(at, "must not run twice", f"{txn} at {engine.id}")
        if earlier and cmd.verb == b"mark" and (written_at >= earlier[0].at + self.window_us or not mark):
            self.breaks(at, "outside its window", f"{txn} {at - earlier[0].at} us after its first")
        if len(cmd.sends) >= self.cap:
            self.breaks(at, "over the cap", f"{txn}")
        left = self.leaving.get((cmd.client.member.name, engine.id))
        if left is not None and written_at > left + GRACE_US:
            self.breaks(at, "drain", f"{txn} to {engine.id}, {written_at - left} us after the word")
        if cmd.left_at is not None and written_at > cmd.left_at + GONE_US:
            self.breaks(at, "client gone", f"{txn}, {written_at - cmd.left_at} us after it left")
        cmd.sends.append(Send(at, engine, conn, ran))

    def over(self, at, engine, txn):
        """A send ended at an engine, or was given up there."""
        self.seen(at, "over", engine.id, txn)
        for send in self.commands[txn].sends:
            if send.engine is engine:
                send.over = True

    def answered(self, at, client, txn, body):
        """An answer came to a client; body: None: turned away, or failed."""
        self.seen(at, "answered" if body is not None else "refused", txn)
        if txn is None:
            self.breaks(at, "one answer", f"client {client.number}: an answer to nothing that is open")
            return
        cmd = self.commands[txn]
        cmd.answers += 1
        late = at - cmd.until - SLACK_US - 2 * self.world.client_way_us
        if late > 0:
            self.breaks(at, "in time", f"{txn} {late} us late")
        if body is not None and body != b"".join(rows(txn, page) for page in range(pages_of(txn))):
            self.breaks(at, "intact", f"{txn}: {len(body)} bytes")
        if body is not None and not any(send.ran for send in cmd.sends):
            self.breaks(at, "intact", f"{txn}: no engine made it")

    def left(self, at, client, txns):
        """A client closed; its gateway hears of it a way later."""
        self.seen(at, "left", client.number)
        for txn in txns:
            self.commands[txn].left_at = at + self.world.client_way_us

    def killed(self, member):
        """A gateway was killed: what it held is nobody's."""
        for cmd in self.commands.values():
            if cmd.client.member is member and not cmd.answers:
                cmd.void = True

    def finish(self, members):
        """At the end: every command had its answer, and no table holds anything."""
        for txn, cmd in self.commands.items():
            if not cmd.answers and cmd.left_at is None and not cmd.void:
                self.breaks(cmd.until, "one answer", f"{txn} never had one")
        for member in members:
            if member.alive and (found := member.left_over()):
                self.breaks(self.world.clock.now, "census", f"{member.name}: {found}")
        return self.broken
