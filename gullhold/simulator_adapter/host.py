"""Hosts one module instance for each workload manager and carries frames to them and back."""

import struct
import traceback
from math import isfinite

from gullhold.agreement import parse_tree, read_agreement
from gullhold.decisions.gateway import Gateway
from gullhold.simulator_adapter import frames

NEW_INSTANCE, ANNOUNCE, ARRIVAL, ESTABLISHED, ANSWER, CLIENT_GONE = 1, 2, 3, 4, 5, 6
TIMEOUT_FIRED, RETIRE, UPDATE_OF, PAGE = 7, 10, 11, 12
DELTA, FAILED = 0, 3
MARKED_REPEAT = 2


class Host:
    """The instances of one process, and the numbered lists that their events refer to."""

    def __init__(self):
        self.gateways = {}
        self.lists = {}
        self.now = 0

    def reply(self, body):
        """The reply frame to one batch (the batch without its length field)."""
        now, number = frames.HEADER.unpack(b"\0\0\0\0" + body[:12])[1:]
        self.now = frames.microseconds(now)
        orders = []
        for code, fields in frames.records(body):
            if code == PAGE:
                key, members = frames.entries(fields)
                self.lists[key] = members
                continue
            handle = self.HANDLERS.get(code)
            if handle is None or len(fields) < 4:
                continue
            who = frames.U32.unpack_from(fields)[0]
            try:
                results = handle(self, who, fields)
            except struct.error:
                raise
            except Exception:
                text = "".join(traceback.format_exc().splitlines(True)[-6:])
                orders.append(frames.line(frames.BUG, who, text))
                continue
            orders.extend(frames.encode_result(who, result) for result in results)
        tail = b"".join(orders)
        return frames.REPLY.pack(frames.REPLY.size + len(tail), len(orders), number) + tail

    def _new(self, who, fields):
        _, seed, size = frames.NEW_INSTANCE.unpack_from(fields)
        at = frames.NEW_INSTANCE.size
        text = bytes(fields[at : at + size]).decode("utf-8", "replace")
        self.gateways[who] = Gateway(seed, read_agreement(parse_tree(text)), self.now)
        return ()

    def _announce(self, who, fields):
        _, number, _, scope = frames.ANNOUNCE.unpack_from(fields)
        if scope == FAILED or who not in self.gateways:
            return ()
        return self.gateways[who].update_engines(self.now, self.lists.get(number, ()), scope != DELTA)

    def _arrival(self, who, fields):
        _, job, profile, tenant, key, until, work, need, group, opts = frames.ARRIVAL.unpack_from(fields)
        if who not in self.gateways:
            return ()
        return self.gateways[who].submit(
            self.now,
            job,
            profile,
            tenant,
            key,
            frames.microseconds(until),
            frames.microseconds(work) if opts & 1 and isfinite(work) else 0,
            need,
            int(group) if isfinite(group) else 0,
            bool(opts & MARKED_REPEAT),
        )

    def _established(self, who, fields):
        _, job, trial, _, _ = frames.ESTABLISHED.unpack_from(fields)
        return self.gateways[who].answer_began(self.now, job, trial) if who in self.gateways else ()

    def _answer(self, who, fields):
        _, job, trial, rtt, used, _, ending, closed, size = frames.ANSWER.unpack_from(fields)
        if who not in self.gateways or ending not in frames.ENDINGS:
            return ()
        at = frames.ANSWER.size
        size = min(size, (len(fields) - at) // 4)
        report = struct.unpack_from(f">{size}f", fields, at)
        return self.gateways[who].attempt_ended(
            self.now,
            job,
            trial,
            frames.ENDINGS[ending],
            bool(closed),
            frames.microseconds(rtt),
            (used >> 12) * 1000,
            (used & 4095) * 4,
            report,
        )

    def _gone(self, who, fields):
        job = frames.CLIENT_GONE.unpack_from(fields)[1]
        return self.gateways[who].client_left(self.now, job) if who in self.gateways else ()

    def _timer(self, who, fields):
        token = frames.TIMEOUT_FIRED.unpack_from(fields)[1]
        return self.gateways[who].timer_fired(self.now, token) if who in self.gateways else ()

    def _retire(self, who, _fields):
        self.gateways.pop(who, None)
        return ()

    def _note(self, who, fields):
        _, job, trial, _, kind, value = frames.UPDATE_OF.unpack_from(fields)
        if who not in self.gateways or kind not in frames.NOTES:
            return ()
        return self.gateways[who].attempt_status(self.now, job, trial, frames.NOTES[kind], value)

    HANDLERS = {
        NEW_INSTANCE: _new,
        ANNOUNCE: _announce,
        ARRIVAL: _arrival,
        ESTABLISHED: _established,
        ANSWER: _answer,
        CLIENT_GONE: _gone,
        TIMEOUT_FIRED: _timer,
        RETIRE: _retire,
        UPDATE_OF: _note,
    }
