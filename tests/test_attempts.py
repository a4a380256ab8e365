"""Attempts at engines: failures and retries, cancels, and answers that come late, twice or malformed."""

import socket
import time

import pytest
from serving import open_sequence_ids, until

from gullhold.net import resp
from gullhold.testing.scripted import Engine, endless, mute, ok, raw, resets, says


@pytest.mark.parametrize(
    ("verb", "act", "want"),
    [
        ("once", says(b"503"), b"a\tb\tc\n"),
        ("once", says(b"504"), b"a\tb\tc\n"),
        ("once", says(b"500"), "fault"),
        ("read", says(b"500"), b"a\tb\tc\n"),
        ("mark", says(b"500"), b"a\tb\tc\n"),
        ("once", resets, "fault"),
        ("read", resets, b"a\tb\tc\n"),
        ("mark", resets, b"a\tb\tc\n"),
        ("read", raw(b"+OK\r\n"), b"a\tb\tc\n"),
        ("once", raw(b"*1\r\n$99999999\r\n"), "fault"),
        ("read", says(b"chunk"), b"a\tb\tc\n"),
        ("read", says(b"200", b"pages=x"), b"a\tb\tc\n"),
        ("read", ok(b"x\n", fields=b"cost=inf"), b"a\tb\tc\n"),
        ("once", ok(b"x\n", fields=b"need=much"), "fault"),
        ("read", mute, b"a\tb\tc\n"),
        ("once", mute, "fault"),
    ],
)
def test_failed_attempt_is_retried_only_when_a_second_run_does_no_harm(start_gateway, verb, act, want):
    engine = Engine(act, ok())
    gateway, client = start_gateway(engine)
    seq = client.ask(verb)
    assert client.answer() == (seq, want)
    assert len(engine.messages(b"fetch")) == (1 if want == "fault" else 2)


def test_non_idempotent_command_is_retried_when_an_engine_refuses_the_connection(start_gateway):
    dead, engine = Engine(), Engine()
    dead.stop_listening()
    gateway, client = start_gateway(dead, engine)
    for _ in range(6):
        seq = client.ask("once")
        assert client.answer() == (seq, b"a\tb\tc\n")
    assert len(engine.messages(b"fetch")) == 6


@pytest.mark.parametrize(
    "page",
    [
        lambda conn, txn: conn.sendall(resp.encode(txn, b"500", b"-", b"")),
        lambda conn, _txn: resets(conn, b"fetch"),
        lambda conn, txn: conn.sendall(resp.encode(txn, b"chunk", b"page=7", b"x")),
    ],
)
def test_incomplete_result_is_not_passed_on_when_a_later_page_fails(start_gateway, page):
    def breaks(conn, verb, *words):
        if verb == b"fetch":
            conn.sendall(resp.encode(words[0], b"200", b"pages=3", b"half\n"))
        if verb == b"more":
            page(conn, words[0])

    engine = Engine(breaks, ok())
    gateway, client = start_gateway(engine)
    seq = client.ask()
    assert client.answer() == (seq, b"a\tb\tc\n")
    seq = client.ask("once")
    assert client.answer() == (seq, b"a\tb\tc\n")


def test_endless_query_is_failed_and_aborted_when_the_client_timeout_is_near(start_gateway):
    engine = Engine(endless)
    gateway, client = start_gateway(engine)
    began = time.monotonic()
    seq = client.ask("once", limit=700)
    assert client.answer() == (seq, "fault")
    assert 0.5 < time.monotonic() - began < 1.0
    until(lambda: engine.messages(b"abort"))
    assert engine.messages(b"alive")
    assert gateway.count("attempts_ended_timed_out") == 1


def test_late_answer_is_ignored_when_the_client_has_interrupted_its_request(start_gateway):
    late = []

    def keeps(conn, verb, *words):
        if verb == b"fetch":
            late.append((conn, words[0]))
        if verb == b"abort":  # it had ended already: the answer crosses
            conn.sendall(resp.encode(words[0], b"200", b"pages=1", b"late\n"))

    engine = Engine(keeps, ok())
    gateway, client = start_gateway(engine)
    first = client.ask()
    until(lambda: late)
    client.interrupt(first)
    until(lambda: gateway.count("unmatched_replies"))
    second = client.ask()
    assert client.answer() == (second, b"a\tb\tc\n")


def test_retry_is_sent_only_when_the_abort_of_the_first_attempt_is_confirmed(start_gateway):
    """They travel on different connections: once in some hundred attempts the fetch overtook the abort."""
    engines = [Engine(endless, ok()), Engine(endless, ok())]
    for engine in engines:
        engine.alive_delay_s = 0.2
    gateway, client = start_gateway(*engines)
    seq = client.ask(limit=4000, cpu=b"20")  # far past the usual: started afresh
    assert client.answer() == (seq, b"a\tb\tc\n")
    told = sorted((words for engine in engines for words in engine.received), key=lambda words: words[-1])
    order = [words[1] for words in told if words[1] in (b"fetch", b"abort", b"alive answered")]
    assert order[:4] == [b"fetch", b"abort", b"alive answered", b"fetch"]


def test_answer_reaches_the_client_when_it_crosses_the_abort(start_gateway):
    def crosses(conn, verb, *words):
        if verb == b"abort":
            ok(b"j\tu\tst\n")(conn, b"fetch", *words)

    engine = Engine(crosses)
    gateway, client = start_gateway(engine)
    seq = client.ask(limit=4000, cpu=b"20")
    assert client.answer() == (seq, b"j\tu\tst\n")
    assert len(engine.messages(b"fetch")) == 1
    until(lambda: gateway.count("attempts_ended_answered") == 1)


def test_no_attempt_is_sent_on_a_connection_when_its_health_check_is_unanswered(start_gateway):
    """A machine that vanished got attempts for seconds, since its open connection looked healthy."""
    gone = Engine(mute)
    gateway, client = start_gateway(gone)
    client.ask("once", limit=3000)
    until(lambda: gone.messages(b"fetch"))
    gone.stop_listening()
    until(lambda: gone.messages(b"alive"))
    client.ask(limit=3000)
    until(lambda: gateway.count("attempts_ended_connect_failed"))
    assert len(gone.messages(b"fetch")) == 1


def test_duplicate_pages_and_replies_with_unknown_ids_are_ignored(start_gateway):
    page, more = b"1\t2\t3\n" * 400, b"4\t5\t6\n"

    def act(conn, verb, *words):
        whole = resp.encode(words[0], b"200", b"pages=2,cost=20,need=64", page)
        chunk = resp.encode(words[0], b"chunk", b"page=1", more)
        if verb == b"fetch":
            conn.sendall(resp.encode(b"f" * 16, b"200", b"pages=1", b"x\ty\tz\n") + whole + whole)
        if verb == b"more":
            conn.sendall(whole + chunk + chunk + whole)

    gateway, client = start_gateway(Engine(act))
    for _ in range(3):
        seq = client.ask()
        assert client.answer() == (seq, page + more)
    until(lambda: gateway.count("duplicate_pages") >= 6)
    assert gateway.count("engine_connections_opened") == 1
    assert not gateway.count("attempts_ended_reset")


@pytest.mark.parametrize(
    "spoilt",
    [
        b"*4\r\n$16\r\n0000",  # stops short
        b"\x00\xff noise \r\n*3\r\n",
        b"*4\r\n$3000000000\r\n",  # an answer of 3 GB
        b"*4\r\n$16" + b"1" * 40,  # a line that never ends
        ok(b"a\tb\tc\nno\x00ise"),  # rows that are none
    ],
)
def test_malformed_reply_fails_only_its_own_attempt_which_is_retried(start_gateway, spoilt):
    engine = Engine(endless, spoilt if callable(spoilt) else raw(spoilt), ok())
    gateway, client = start_gateway(engine)
    first = client.ask("once", limit=3000)
    until(lambda: engine.messages(b"fetch"))
    began = time.monotonic()
    seq = client.ask()
    assert client.answer() == (seq, b"a\tb\tc\n")
    assert time.monotonic() - began < 1
    assert gateway.count("engine_connections_ended_malformed") == 1
    assert first in open_sequence_ids(gateway)
    client.interrupt(first)


def test_attempt_without_replies_is_retried_when_its_connection_works(start_gateway):
    engine = Engine(endless, ok())  # answers `alive`, never the fetch
    gateway, client = start_gateway(engine, cancel=False)
    seq = client.ask(limit=3500, cpu=b"900")
    assert client.answer() == (seq, b"a\tb\tc\n")
    assert gateway.count("attempts_unanswered") == 1
    assert gateway.count("engine_connections_opened") <= 2
    (first, second), (abort,) = engine.messages(b"fetch"), engine.messages(b"abort")
    assert first[-1] < abort[-1] < second[-1]  # never two at once


def test_attempts_share_a_connection_only_when_the_engine_closes_it_after_an_answer(start_gateway):
    def closes(conn, verb, *words):
        ok()(conn, verb, *words)
        conn.shutdown(socket.SHUT_WR)

    apart, together = Engine(endless), Engine(closes, endless)
    gateway, client = start_gateway(apart)
    for _ in range(2):
        client.ask("once")
    until(lambda: gateway.count("engine_connections_opened") == 2)
    gateway, client = start_gateway(together, streams_per_conn=9)
    client.ask("once")
    client.answer()
    until(lambda: gateway.count("engine_connections_ended_closed_by_peer") == 1)
    for number in range(5):
        client.ask("once")
        until(lambda: len(together.messages(b"fetch")) == 2 + number)  # noqa: B023
    assert gateway.count("engine_connections_opened") == 1 + 2  # three to a link: a reset takes no more along
