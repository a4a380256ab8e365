"""Commands of the fleet's own, through the ordinary path: taken as any client's, and answered once."""

from itertools import count

from gullhold.fleet.schedule import ANSWERED, FAILED, SHED
from gullhold.net import thrift
from gullhold.net.request_reader import RequestError

SCALE = 1000  # us in a millisecond


class _Open:
    """What the core asks of a connection: this one never dies and holds nothing back."""

    dead = finishing = False

    def finish(self, now=False):
        """Nothing to close."""


class Desk:
    """The one client that is the fleet itself. The core sees it as a connection; answers come on its thread.

    tell(number, state, why): called once for each command that was asked for. bits: of chance, for ids.
    """

    peer = ("", "fleet")  # where it connects from, as other clients have it

    def __init__(self, core, reader, tell, bits):
        self.core, self.reader, self.tell, self.bits = core, reader, tell, bits
        self.open, self.waiting, self.taken_back = {}, {}, set()
        self.settled, self.left, self.pipe, self.serial = 0, False, _Open(), count(1)

    def ask(self, command, limit_us, at, mark, again):
        """Hand a command to the core; its number, or None with why where the agreement has no room for it.

        command: an operator's record. at: Unix us from which its limit counts: once that is over it is not
        sent any more. mark: 32 hex digits by which engines know a repeat.
        """
        number = next(self.serial)
        fields = {
            b"verb": command.profile.encode(),
            b"team": command.tenant.encode(),
            b"txn": b"%016x" % self.bits(64),
            b"limit": b"%d" % max(1, limit_us // SCALE),
            b"unique": mark.encode(),
            b"cpu": b"%d" % (command.work // SCALE),
            b"memory": b"%d" % command.memory,
        }
        if again:
            fields[b"second"] = b"1"
        try:
            request = self.reader.request(fields, command.statement.encode(), "fleet", "fleet")
        except RequestError as why:
            return None, str(why)
        if not self.core.room.take(len(request.body)):
            return None, "no memory for its statement"
        self.waiting[number] = True
        self.core.counters.add("fleet commands")
        self.core.post(self.core.execute, self, number, request, at)
        return number, ""

    def put(self, message):
        """From the core's thread: whole frames, an answer each."""
        while message:
            size = thrift.I32S.unpack(message[:4])[0] + 4
            told = thrift.read(message[4:size], thrift.REPLY, thrift.EXCEPTION)
            message = message[size:]
            if told.args.get((0, thrift.STRUCT), {}).get((3, thrift.BOOL)):
                self.tell(told.seq, ANSWERED, "")
            elif (1, thrift.STRUCT) in told.args:
                self.tell(told.seq, SHED, "shed")
            else:
                fault = told.args.get((2, thrift.STRUCT), {}).get((1, thrift.MAP), {})
                why = fault.get(b"reason", b"failed") if isinstance(fault, dict) else b"failed"
                self.tell(told.seq, FAILED, why.decode("utf-8", "replace"))
