"""What counts as a reply of an engine, line by line of the protocol's table, and what is refused.

Guards against a spoilt answer that is passed on as a whole one (review case 7).
"""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from serving import until

from gullhold.interface import Outcome, StatusKind
from gullhold.net import resp
from gullhold.net.connection_ends import ProtocolError
from gullhold.net.engine_reply import (
    AnswerReply,
    ChunkReply,
    ConfirmationReply,
    FailureReply,
    ReplyParser,
    ResourceUse,
    StatusReply,
)
from gullhold.testing.scripted import ScriptedEngine, serve_pages

TXN = b"00c41f7a00c41f7a"
ROWS = b"1\t2\t3\n4\t5\t6\n"
OTHER_ROWS = b"7\t8\t9\n"
GOOD = b"pages=2,cost=20.5,need=64,load=inflight:7;x0:0.5"
PARSER = ReplyParser(["inflight", "x1", "x0"])
USE = ResourceUse(20500, 64.0, (7.0, 0.0, 0.5))
NO_USE = ResourceUse(0, 0.0, ())

SOUND = [
    ([TXN, b"200", GOOD, ROWS], AnswerReply(TXN, 2, USE, ROWS)),
    ([TXN, b"200", b"pages=1", b""], AnswerReply(TXN, 1, NO_USE, b"")),  # a result without rows
    ([TXN, b"200", b"pages=1,further=x", ROWS], AnswerReply(TXN, 1, NO_USE, ROWS)),
    ([TXN, b"503", b"-", b""], FailureReply(TXN, Outcome.OVERLOADED, NO_USE)),
    (
        [TXN, b"503", b"load=inflight:9", b""],
        FailureReply(TXN, Outcome.OVERLOADED, NO_USE._replace(load=(9.0, 0.0, 0.0))),
    ),
    ([TXN, b"500", b"-", b"no such page"], FailureReply(TXN, Outcome.ERROR, NO_USE)),
    ([TXN, b"504", b"-", b""], FailureReply(TXN, Outcome.NOT_STARTED, NO_USE)),
    ([TXN, b"status", b"-", b""], StatusReply(TXN, None, 0.0)),
    ([TXN, b"status", b"note=share,v=0.25", b""], StatusReply(TXN, StatusKind.PROGRESS, 0.25)),
    ([TXN, b"status", b"note=short,v=1e2", b""], StatusReply(TXN, StatusKind.SPILLING, 100.0)),
    ([TXN, b"status", b"note=held,v=2", b""], StatusReply(TXN, StatusKind.WAITING, 2.0)),
    ([TXN, b"chunk", b"page=1", ROWS], ChunkReply(TXN, 1, ROWS)),
    ([b"~3", b"alive"], ConfirmationReply(b"~3")),
    ([b"~3", b"alive", b"-", b""], ConfirmationReply(b"~3")),
]

SPOILT = {
    "no strings but an id": [TXN],
    "answer of two strings": [TXN, b"200"],
    "answer of three strings": [TXN, b"200", GOOD],
    "answer of five strings": [TXN, b"200", GOOD, ROWS, ROWS],
    "answer without pages": [TXN, b"200", b"cost=20.5,need=64", ROWS],
    "answer without fields": [TXN, b"200", b"-", ROWS],
    "answer of no pages": [TXN, b"200", b"pages=0", ROWS],
    "answer of less than no pages": [TXN, b"200", b"pages=-1", ROWS],
    "answer of too many pages": [TXN, b"200", b"pages=900000000", ROWS],
    "pages with a sign": [TXN, b"200", b"pages=+1", ROWS],
    "pages with a separator": [TXN, b"200", b"pages=1_0", ROWS],
    "pages with a space": [TXN, b"200", b"pages= 1", ROWS],
    "pages with a line end": [TXN, b"200", b"pages=1\n", ROWS],
    "pages without a value": [TXN, b"200", b"pages=", ROWS],
    "pages twice": [TXN, b"200", b"pages=1,pages=2", ROWS],
    "a field without a value": [TXN, b"200", b"pages=1,cost", ROWS],
    "an empty field": [TXN, b"200", b"pages=1,", ROWS],
    "cost that is no number": [TXN, b"200", b"pages=1,cost=x", ROWS],
    "cost that is infinite": [TXN, b"200", b"pages=1,cost=inf", ROWS],
    "cost that overflows": [TXN, b"200", b"pages=1,cost=1e306", ROWS],
    "cost that is negative": [TXN, b"200", b"pages=1,cost=-1", ROWS],
    "need that is not a number": [TXN, b"200", b"pages=1,need=nan", ROWS],
    "load that is no number": [TXN, b"200", b"pages=1,load=inflight:x", ROWS],
    "load without a value": [TXN, b"200", b"pages=1,load=inflight", ROWS],
    "load twice": [TXN, b"200", b"pages=1,load=inflight:1;inflight:2", ROWS],
    "refusal of two strings": [TXN, b"503"],
    "refusal of three strings": [TXN, b"503", b"-"],
    "refusal with a spoilt field": [TXN, b"503", b"lo", b""],
    "end of five strings": [TXN, b"504", b"-", b"", b""],
    "error of three strings": [TXN, b"500", b"-"],
    "status of two strings": [TXN, b"status"],
    "status without a value": [TXN, b"status", b"note=share", b""],
    "status with a value that is no number": [TXN, b"status", b"note=held,v=two", b""],
    "chunk without a page": [TXN, b"chunk", b"-", ROWS],
    "chunk that is page 0": [TXN, b"chunk", b"page=0", ROWS],
    "chunk with a page that is no number": [TXN, b"chunk", b"page=1.0", ROWS],
    "chunk of three strings": [TXN, b"chunk", b"page=1"],
    "confirmation of five strings": [b"~3", b"alive", b"-", b"", b""],
    "unknown word": [TXN, b"201", GOOD, ROWS],
    "no word": [TXN, b"", GOOD, ROWS],
}


@pytest.mark.parametrize(("strings", "reply"), SOUND)
def test_every_reply_that_the_protocol_allows_is_read(strings, reply):
    assert PARSER.parse(strings) == reply


@pytest.mark.parametrize("strings", SPOILT.values(), ids=SPOILT)
def test_a_reply_that_lacks_one_thing_or_has_one_too_many_is_refused(strings):
    with pytest.raises(ProtocolError):
        PARSER.parse(strings)


@seed(7)
@settings(max_examples=400, deadline=None, database=None)
@given(st.sampled_from(SOUND), st.integers(0, 5), st.integers(0, 3), st.binary(max_size=12))
def test_a_spoilt_reply_is_refused_or_means_what_its_strings_say(sound, length, position, noise):
    """Whatever replaces a string of a sound reply, and however many there are, no other error is raised."""
    strings = list(sound[0])
    if position < len(strings):
        strings[position] = noise
    strings = (strings + [noise] * length)[:length]
    try:
        reply = PARSER.parse(strings)
    except ProtocolError:
        return
    assert len(strings) == 4 or reply == ConfirmationReply(strings[0])
    if isinstance(reply, AnswerReply | ChunkReply):
        assert reply.rows == strings[3]
        assert reply.transaction_id == strings[0]


def spoil_once(spoilt):
    """Return a step that answers the first message with these bytes, and all later ones as it should be."""
    sent = []

    def step(conn, verb, *words):
        is_spoilt = verb == spoilt[0] and not sent
        if is_spoilt:
            sent.append(verb)
            conn.sendall(spoilt[1](words[0]))
        else:
            serve_pages(ROWS, OTHER_ROWS)(conn, verb, *words)

    return step


def with_length(length, *words):
    """Encode an array that says that it has another number of strings than follow."""
    return b"*%d" % length + resp.encode(*words).removeprefix(b"*%d" % len(words))


SPOILT_BYTES = {
    "answer says 2 strings": (b"fetch", lambda txn: with_length(2, txn, b"200", b"pages=2", ROWS)),
    "answer says 3 strings": (b"fetch", lambda txn: with_length(3, txn, b"200", b"pages=2", ROWS)),
    "answer says 5 strings": (b"fetch", lambda txn: with_length(5, txn, b"200", b"pages=2", ROWS)),
    "answer says 1 page of 2 strings": (b"fetch", lambda txn: with_length(2, txn, b"200", b"pages=1", ROWS)),
    "answer without pages": (b"fetch", lambda txn: resp.encode(txn, b"200", b"cost=2,need=1", ROWS)),
    "chunk says 2 strings": (b"more", lambda txn: with_length(2, txn, b"chunk", b"page=1", OTHER_ROWS)),
    "chunk says 3 strings": (b"more", lambda txn: with_length(3, txn, b"chunk", b"page=1", OTHER_ROWS)),
    "chunk says 5 strings": (b"more", lambda txn: with_length(5, txn, b"chunk", b"page=1", OTHER_ROWS)),
    "chunk without its number": (b"more", lambda txn: resp.encode(txn, b"chunk", b"-", OTHER_ROWS)),
    "page that was not asked for": (b"more", lambda txn: resp.encode(txn, b"chunk", b"page=2", OTHER_ROWS)),
    "first page again with other rows": (
        b"more",
        lambda txn: resp.encode(txn, b"200", b"pages=2", OTHER_ROWS),
    ),
    "refusal after a page": (b"more", lambda txn: resp.encode(txn, b"503", b"-", b"")),
}


@pytest.mark.parametrize("spoilt", SPOILT_BYTES.values(), ids=SPOILT_BYTES)
def test_nothing_of_a_spoilt_answer_is_passed_on_and_its_connection_ends(start_gateway, spoilt):
    """Guards against a client that is served an empty result, or one in which a page is missing."""
    gateway, client = start_gateway(ScriptedEngine(spoil_once(spoilt)))
    seq = client.send_command("read")
    assert client.read_answer() == (seq, ROWS + OTHER_ROWS)  # by a further attempt
    assert gateway.count("engine_connections_ended_malformed") == 1
    seq = client.send_command("once")  # on another connection
    assert client.read_answer() == (seq, ROWS + OTHER_ROWS)


def test_copies_of_pages_are_ignored_and_unknown_ids_ahead_of_them(start_gateway):
    def send_twice(conn, verb, *words):
        if verb in (b"fetch", b"more"):
            conn.sendall(resp.encode(b"f" * 16, b"200", b"pages=3", OTHER_ROWS))
            serve_pages(ROWS, OTHER_ROWS, ROWS)(conn, verb, *words)
            conn.sendall(resp.encode(words[0], b"200", b"pages=3", ROWS))
        if verb == b"more":
            conn.sendall(resp.encode(words[0], b"chunk", b"page=1", OTHER_ROWS))

    gateway, client = start_gateway(ScriptedEngine(send_twice))
    seq = client.send_command("once")
    assert client.read_answer() == (seq, ROWS + OTHER_ROWS + ROWS)
    until(lambda: gateway.count("unmatched_replies") >= 3)
    assert not gateway.count("engine_connections_ended_malformed")
