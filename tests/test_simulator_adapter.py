"""The simulator adapter: replies to seeded batches equal those recorded on commit 90bd584, byte for byte."""

import io
import struct
import sys
from hashlib import sha256
from random import Random
from types import SimpleNamespace

import pytest

from gullhold.simulator_adapter import __main__ as adapter
from gullhold.simulator_adapter.host import Host

SETTINGS = """
categories.count=2
categories.0.name=short
categories.0.idempotency=pure
categories.0.aim=0.5
categories.0.give_up=4
categories.0.value=1
categories.0.late_worth=0.3
categories.1.name=long
categories.1.idempotency=side_effect
categories.1.aim=3
categories.1.give_up=9
categories.1.value=5
balancers=2
dcs=a,b
kinds=big
my_zone=a
domain.parallelism=1,2
domain.cores_by_kind=4
domain.ram_of_kind_mb=4096
domain.max_grant_share=0.4
domain.grants_count=true
domain.takes_priority=true
limits.cancel=true
limits.attempts_cap=3
limits.retry_after=true
limits.max_retry_after=0.5
rules.cold_from=0.3
rules.warm_after=10
rules.fall_multiple=3
rules.tip_after=2
rules.ratio_span=5
rules.min_extra=3
rules.extra_share=0.2
telemetry.fields=util
"""
BATCHES = 400
FIRST_S = 8.125
REPLIES_HASH = "a1b2f9f5f431ab6fc14059cf6c058142ef49867bb7a05e5f77b27423095e1104"
OUTCOME_CODES = (0, 0, 0, 0, 0, 0, 13, 8, 4, 14, 10, 1, 9, 77)
ODD_TIMES = (0.0, 1e300, float("nan"), float("inf"))


def record(code, layout, *fields, more=b""):
    """An encoded record of a batch; more: bytes after the fields of the layout."""
    body = struct.pack(">" + layout, *fields) + more
    return struct.pack(">BI", code, len(body)) + body


def batch(now_s, number, records):
    """An encoded batch, without its length field."""
    return struct.pack(">dI", now_s, number) + b"".join(records)


def actions(reply):
    """The (code, fields) pairs of a reply, whose header must state their number and the size."""
    size, count, _ = struct.unpack_from(">III", reply)
    assert size == len(reply)
    found, offset = [], 12
    while offset < len(reply):
        code, length = struct.unpack_from(">BI", reply, offset)
        found.append((code, reply[offset + 5 : offset + 5 + length]))
        offset += 5 + length
    assert len(found) == count
    return found


class Simulator:
    """Sends a Host batches drawn from a seed; like the simulator's, their events depend on the replies."""

    def __init__(self, seed):
        self.draw = Random(seed)
        self.host = Host()
        self.now_s = FIRST_S
        self.attempts, self.sent, self.timers, self.requests = {}, [], [], 0

    def initial_records(self):
        """Records that start two instances with four engines each, one of these warming up."""
        text = SETTINGS.encode()
        entries = b"".join(
            struct.pack(">HfBBHdI", n % 2, 1.0, 0, 2, n % 3, self.now_s if n == 3 else 0.0, 1000 + n)
            for n in range(4)
        )
        records = [record(12, "II", 5, 4, more=entries)]
        for instance in (1, 2):
            records.append(record(1, "IQI", instance, 40 + instance, len(text), more=text))
            records.append(record(2, "IIIB", instance, 5, 1, 2))
        return records

    def event(self):
        """One event; some have an unknown code or instance, or impossible figures."""
        draw, instance = self.draw, self.draw.choice((1, 1, 1, 2, 2, 2, 9))
        kind = draw.random()
        if kind < 0.45:
            self.requests += 1
            until = self.now_s + draw.choice((0.3, 2.0, 5.0))
            work = draw.choice((0.02, 0.1, 0.6, *ODD_TIMES))
            dataset = draw.choice((1.0, 2.0, float("nan")))
            fields = (instance, self.requests, draw.randrange(3), 0, draw.randrange(3), until, work, 40.0)
            return record(3, "IIHIQddffB", *fields, dataset, draw.randrange(8))
        if kind < 0.75 and self.sent:
            instance, request, engine = self.sent.pop(draw.randrange(len(self.sent)))
            return self.answer(instance, request, engine)
        if kind < 0.85 and self.timers:
            instance, token = self.timers.pop(0)
            return record(7, "IQ", instance, token)
        return self.other_event(instance)

    def answer(self, instance, request, engine):
        """The end of an attempt at an engine."""
        draw = self.draw
        used = draw.choice((0, (80 << 12) + 12, (700 << 12) + 4095))
        report = draw.choice((b"", struct.pack(">f", draw.random())))
        figure_count = len(report) // 4 + draw.choice((0, 0, 2))  # sometimes more than the record has
        attempt = self.attempts[instance, request] - 1
        is_closed = draw.random() < 0.2
        fields = (
            instance,
            request,
            attempt,
            draw.random(),
            used,
            engine,
            draw.choice(OUTCOME_CODES),
            is_closed,
            figure_count,
        )
        return record(5, "IIHdIIBBB", *fields, more=report)

    def other_event(self, instance):
        """An event that does not occur for each request."""
        draw, request = self.draw, self.draw.randrange(1, self.requests + 2)
        attempt = self.attempts.get((instance, request), 1) - 1
        return draw.choice(
            (
                record(6, "II", instance, request),
                record(4, "IIHId", instance, request, attempt, 1000, 0.1),
                record(11, "IIHIBf", instance, request, attempt, 1000, draw.randrange(5), draw.random()),
                record(2, "IIIB", instance, draw.choice((5, 6)), 2, draw.choice((0, 3))),
                record(8, "IB", instance, 0),
                record(99, "I", instance),
                record(10, "I", 9),
                record(5, "B", 1),
            )
        )

    def send_batch(self, number):
        """Send the next batch to the host; return the reply."""
        records = (
            self.initial_records() if number == 0 else [self.event() for _ in range(self.draw.randrange(6))]
        )
        reply = self.host.reply(batch(self.now_s, number, records))
        for code, fields in actions(reply):
            if code == 8:
                instance, request, _, engine = struct.unpack(">IIdI", fields)
                self.attempts[instance, request] = self.attempts.get((instance, request), 0) + 1
                self.sent.append((instance, request, engine))
            elif code == 6:
                instance, _, token = struct.unpack(">IdQ", fields)
                self.timers.append((instance, token))
            assert code != 4, f"the host reported an exception in the decision module: {fields}"
        self.now_s += self.draw.choice((0.001, 0.02, 0.2))
        return reply


def test_seeded_batches_give_the_recorded_replies():
    replies, codes = sha256(), set()
    for seed in range(4):
        simulator = Simulator(seed)
        for number in range(BATCHES):
            reply = simulator.send_batch(number)
            replies.update(reply)
            codes.update(code for code, _ in actions(reply))
    assert codes >= {1, 3, 6, 7, 8, 12}
    assert replies.hexdigest() == REPLIES_HASH


def test_an_exception_of_a_gateway_is_reported_in_a_record():
    text = b"domain.cores_by_kind=x"
    (code, fields), *others = actions(
        Host().reply(batch(FIRST_S, 7, [record(1, "IQI", 3, 1, len(text), more=text)]))
    )
    assert not others
    assert code == 4
    assert fields[:4] == b"\0\0\0\3"
    assert b"ValueError" in fields


def test_events_of_unknown_instances_are_ignored_when_their_times_are_not_numbers():
    arrival = record(3, "IIHIQddffB", 3, 1, 0, 0, 0, float("nan"), float("nan"), 1.0, 1.0, 1)
    assert Host().reply(batch(FIRST_S, 7, [arrival])) == struct.pack(">III", 12, 0, 7)


@pytest.mark.parametrize(
    "frame",
    [
        b"\0\0\0",
        struct.pack(">I", 15) + bytes(20),
        struct.pack(">IdI", 40, 1.0, 1),
        struct.pack(">IdI", 21, 1.0, 1) + struct.pack(">BI", 3, 99),
        struct.pack(">IdI", 25, 1.0, 1) + struct.pack(">BII", 6, 4, 3),
        struct.pack(">IdI", 29, 1.0, 1) + struct.pack(">BIII", 12, 8, 5, 1),
    ],
)
def test_a_malformed_frame_ends_the_process_with_a_message(monkeypatch, frame):
    output = io.BytesIO()
    monkeypatch.setattr(sys, "stdin", SimpleNamespace(buffer=io.BytesIO(frame)))
    monkeypatch.setattr(sys, "stdout", SimpleNamespace(buffer=output))
    with pytest.raises(SystemExit, match="malformed frame"):
        adapter.main()
    assert not output.getvalue()


def test_batches_are_answered_until_input_ends(monkeypatch):
    output = io.BytesIO()
    frames = struct.pack(">IdI", 16, 8.125, 1) + struct.pack(">IdI", 16, 8.125, 2)
    monkeypatch.setattr(sys, "stdin", SimpleNamespace(buffer=io.BytesIO(frames)))
    monkeypatch.setattr(sys, "stdout", SimpleNamespace(buffer=output))
    adapter.main()
    assert output.getvalue() == struct.pack(">III", 12, 0, 1) + struct.pack(">III", 12, 0, 2)
