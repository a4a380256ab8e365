"""Attempts at engines: failures and retries, aborts, and replies that are late, duplicate or malformed."""

import socket
import time

import pytest
from serving import open_sequence_ids, until

from gullhold.net import resp
from gullhold.testing.scripted import (
    ScriptedEngine,
    answer_nothing,
    never_finish,
    reply_with,
    reset_connection,
    send_bytes,
    serve_pages,
)


@pytest.mark.parametrize(
    ("verb", "step", "expected"),
    [
        ("once", reply_with(b"503"), b"a\tb\tc\n"),
        ("once", reply_with(b"504"), b"a\tb\tc\n"),
        ("once", reply_with(b"500"), "fault"),
        ("read", reply_with(b"500"), b"a\tb\tc\n"),
        ("mark", reply_with(b"500"), b"a\tb\tc\n"),
        ("once", reset_connection, "fault"),
        ("read", reset_connection, b"a\tb\tc\n"),
        ("mark", reset_connection, b"a\tb\tc\n"),
        ("read", send_bytes(b"+OK\r\n"), b"a\tb\tc\n"),
        ("once", send_bytes(b"*1\r\n$99999999\r\n"), "fault"),
        ("read", reply_with(b"chunk"), b"a\tb\tc\n"),
        ("read", reply_with(b"200", b"pages=x"), b"a\tb\tc\n"),
        ("read", serve_pages(b"x\n", fields=b"cost=inf"), b"a\tb\tc\n"),
        ("read", serve_pages(fields=b"cost=1e306"), b"a\tb\tc\n"),
        ("once", serve_pages(b"x\n", fields=b"need=much"), "fault"),
        ("read", answer_nothing, b"a\tb\tc\n"),
        ("once", answer_nothing, "fault"),
    ],
)
def test_failed_attempt_is_retried_only_when_a_second_run_does_no_harm(start_gateway, verb, step, expected):
    engine = ScriptedEngine(step, serve_pages())
    gateway, client = start_gateway(engine)
    seq = client.send_command(verb)
    assert client.read_answer() == (seq, expected)
    assert len(engine.messages(b"fetch")) == (1 if expected == "fault" else 2)


def test_non_idempotent_command_is_retried_when_an_engine_refuses_the_connection(start_gateway):
    dead, engine = ScriptedEngine(), ScriptedEngine()
    dead.stop_listening()
    gateway, client = start_gateway(dead, engine)
    for _ in range(6):
        seq = client.send_command("once")
        assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert len(engine.messages(b"fetch")) == 6


@pytest.mark.parametrize(
    "reply_to_more",
    [
        lambda conn, txn: conn.sendall(resp.encode(txn, b"500", b"-", b"")),
        lambda conn, _txn: reset_connection(conn, b"fetch"),
        lambda conn, txn: conn.sendall(resp.encode(txn, b"chunk", b"page=7", b"x")),
    ],
)
def test_incomplete_result_is_not_passed_on_when_a_later_page_fails(start_gateway, reply_to_more):
    def fail_after_first_page(conn, verb, *words):
        if verb == b"fetch":
            conn.sendall(resp.encode(words[0], b"200", b"pages=3", b"half\n"))
        if verb == b"more":
            reply_to_more(conn, words[0])

    engine = ScriptedEngine(fail_after_first_page, serve_pages())
    gateway, client = start_gateway(engine)
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    seq = client.send_command("once")
    assert client.read_answer() == (seq, b"a\tb\tc\n")


def test_endless_query_is_failed_and_aborted_when_the_client_timeout_is_near(start_gateway):
    engine = ScriptedEngine(never_finish)
    gateway, client = start_gateway(engine)
    began = time.monotonic()
    seq = client.send_command("once", limit=700)
    assert client.read_answer() == (seq, "fault")
    assert 0.5 < time.monotonic() - began < 1.0
    until(lambda: engine.messages(b"abort"))
    assert engine.messages(b"alive")
    assert gateway.count("attempts_ended_timed_out") == 1


def test_late_answer_is_ignored_when_the_client_has_interrupted_its_request(start_gateway):
    fetches = []

    def answer_at_abort(conn, verb, *words):
        if verb == b"fetch":
            fetches.append((conn, words[0]))
        if verb == b"abort":  # as if the answer had been sent just before the abort arrived
            conn.sendall(resp.encode(words[0], b"200", b"pages=1", b"late\n"))

    engine = ScriptedEngine(answer_at_abort, serve_pages())
    gateway, client = start_gateway(engine)
    first = client.send_command()
    until(lambda: fetches)
    client.interrupt(first)
    until(lambda: gateway.count("unmatched_replies"))
    second = client.send_command()
    assert client.read_answer() == (second, b"a\tb\tc\n")


def test_retry_is_sent_only_when_the_abort_of_the_first_attempt_is_confirmed(start_gateway):
    """Guards against a retry that overtakes the abort, as each is sent on a connection of its own.

    That happened in one of some hundred attempts.
    """
    engines = [ScriptedEngine(never_finish, serve_pages()), ScriptedEngine(never_finish, serve_pages())]
    for engine in engines:
        engine.alive_delay_s = 0.2
    gateway, client = start_gateway(*engines)
    # Takes far longer than usual, so it is cancelled and retried.
    seq = client.send_command(limit=4000, cpu=b"20")
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    messages = sorted((words for engine in engines for words in engine.received), key=lambda words: words[-1])
    order = [words[1] for words in messages if words[1] in (b"fetch", b"abort", b"alive answered")]
    assert order[:4] == [b"fetch", b"abort", b"alive answered", b"fetch"]


def test_answer_reaches_the_client_when_it_crosses_the_abort(start_gateway):
    def answer_at_abort(conn, verb, *words):
        if verb == b"abort":
            serve_pages(b"j\tu\tst\n")(conn, b"fetch", *words)

    engine = ScriptedEngine(answer_at_abort)
    gateway, client = start_gateway(engine)
    seq = client.send_command(limit=4000, cpu=b"20")
    assert client.read_answer() == (seq, b"j\tu\tst\n")
    assert len(engine.messages(b"fetch")) == 1
    until(lambda: gateway.count("attempts_ended_answered") == 1)


def test_no_attempt_is_sent_on_a_connection_when_its_health_check_is_unanswered(start_gateway):
    """Guards against attempts on a machine that vanished: its open connection looks healthy for seconds."""
    vanished = ScriptedEngine(answer_nothing)
    gateway, client = start_gateway(vanished)
    client.send_command("once", limit=3000)
    until(lambda: vanished.messages(b"fetch"))
    vanished.stop_listening()
    until(lambda: vanished.messages(b"alive"))
    client.send_command(limit=3000)
    until(lambda: gateway.count("attempts_ended_connect_failed"))
    assert len(vanished.messages(b"fetch")) == 1


def test_duplicate_pages_and_replies_with_unknown_ids_are_ignored(start_gateway):
    first_page, second_page = b"1\t2\t3\n" * 400, b"4\t5\t6\n"

    def step(conn, verb, *words):
        answer = resp.encode(words[0], b"200", b"pages=2,cost=20,need=64", first_page)
        chunk = resp.encode(words[0], b"chunk", b"page=1", second_page)
        if verb == b"fetch":
            conn.sendall(resp.encode(b"f" * 16, b"200", b"pages=1", b"x\ty\tz\n") + answer + answer)
        if verb == b"more":
            conn.sendall(answer + chunk + chunk + answer)

    gateway, client = start_gateway(ScriptedEngine(step))
    for _ in range(3):
        seq = client.send_command()
        assert client.read_answer() == (seq, first_page + second_page)
    until(lambda: gateway.count("duplicate_pages") >= 6)
    assert gateway.count("engine_connections_opened") == 1
    assert not gateway.count("attempts_ended_reset")


@pytest.mark.parametrize(
    "reply",
    [
        b"*4\r\n$16\r\n0000",  # breaks off
        b"\x00\xff noise \r\n*3\r\n",
        b"*4\r\n$3000000000\r\n",  # a reply of 3 GB
        b"*4\r\n$16" + b"1" * 40,  # a line that never ends
        serve_pages(b"a\tb\tc\nno\x00ise"),  # not complete rows
    ],
)
def test_malformed_reply_fails_only_its_own_attempt_which_is_retried(start_gateway, reply):
    engine = ScriptedEngine(never_finish, reply if callable(reply) else send_bytes(reply), serve_pages())
    gateway, client = start_gateway(engine)
    first = client.send_command("once", limit=3000)
    until(lambda: engine.messages(b"fetch"))
    began = time.monotonic()
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert time.monotonic() - began < 1
    assert gateway.count("engine_connections_ended_malformed") == 1
    assert first in open_sequence_ids(gateway)
    client.interrupt(first)


def test_attempt_without_replies_is_retried_when_its_connection_works(start_gateway):
    engine = ScriptedEngine(never_finish, serve_pages())  # answers an alive, but never the fetch
    gateway, client = start_gateway(engine, cancel=False)
    seq = client.send_command(limit=3500, cpu=b"900")
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert gateway.count("attempts_unanswered") == 1
    assert gateway.count("engine_connections_opened") <= 2
    (first, second), (abort,) = engine.messages(b"fetch"), engine.messages(b"abort")
    assert first[-1] < abort[-1] < second[-1]  # never two attempts at once


def test_attempts_share_a_connection_only_when_the_engine_closes_it_after_an_answer(start_gateway):
    def answer_and_close(conn, verb, *words):
        serve_pages()(conn, verb, *words)
        conn.shutdown(socket.SHUT_WR)

    unshared, shared = ScriptedEngine(never_finish), ScriptedEngine(answer_and_close, never_finish)
    gateway, client = start_gateway(unshared)
    for _ in range(2):
        client.send_command("once")
    until(lambda: gateway.count("engine_connections_opened") == 2)
    gateway, client = start_gateway(shared, streams_per_conn=9)
    client.send_command("once")
    client.read_answer()
    until(lambda: gateway.count("engine_connections_ended_closed_by_peer") == 1)
    for number in range(5):
        client.send_command("once")
        until(lambda: len(shared.messages(b"fetch")) == 2 + number)  # noqa: B023
    # At most three attempts share a connection, so that a reset fails few.
    assert gateway.count("engine_connections_opened") == 1 + 2
