"""What one message may cost: the time for which others wait, and memory over all connections."""

import time
from contextlib import suppress
from threading import Event, Thread

from serving import until

from gullhold.net import client_limits, engine_connection, overload, request_reader, resp, statement, thrift
from gullhold.testing.client import BlockingClient, execute_arguments
from gullhold.testing.scripted import ScriptedEngine, never_finish, serve_pages

LONG_STATEMENT = b"select 1 from sales_3.t" + b" " * 5000


def test_other_clients_are_answered_while_a_long_statement_is_read(start_gateway, monkeypatch):
    """Guards against readers that wait for the one that reads a statement, however long that takes.

    Such statements are read one at a time, and one that has waited for a tenth of its timeout is shed.
    """
    may_read = Event()
    long_texts = []

    def read_long_ones_late(text):
        if len(text) > 5000:
            long_texts.append(text)
            may_read.wait()
        return statement.table_group(text)

    monkeypatch.setattr(request_reader, "table_group", read_long_ones_late)
    gateway, client = start_gateway(ScriptedEngine())
    others = [BlockingClient(gateway.address) for _ in range(2)]
    long_ones = [other.send_command(body=LONG_STATEMENT) for other in others]
    until(lambda: long_texts)
    for _ in range(3):
        seq = client.send_command()
        assert client.read_answer() == (seq, b"a\tb\tc\n")
    until(lambda: gateway.count("rejected_overload"))  # by the one that waits longer than it may
    assert len(long_texts) == 1
    may_read.set()
    results = [other.read_answer() for other in others]
    assert [answer.sequence_number for answer in results] == long_ones
    assert sorted((answer.result for answer in results), key=str) == [b"a\tb\tc\n", "shed"]


def test_statements_that_wait_to_be_read_are_shed_when_they_exceed_their_memory(start_gateway, monkeypatch):
    """Guards against hundreds of long statements that wait for their turn, each twice in memory."""
    may_read = Event()
    monkeypatch.setattr(overload, "MAX_AGE_DIVISOR", 0.5)  # they wait for twice their timeout
    monkeypatch.setattr(
        request_reader, "table_group", lambda text: may_read.wait() and statement.table_group(text)
    )
    gateway, client = start_gateway(ScriptedEngine())
    memory = gateway.core.statement_memory
    memory.max_bytes = 40_000
    clients = [client, *(BlockingClient(gateway.address) for _ in range(5))]
    for each in clients:
        each.send_command(body=LONG_STATEMENT)
    until(lambda: gateway.count("rejected_statement_memory") == 3)  # a frame of 5,200 bytes counts twice
    may_read.set()
    results = [each.read_answer().result for each in clients]
    assert sorted(results, key=str) == [b"a\tb\tc\n"] * 3 + ["shed"] * 3


def test_reply_that_keeps_on_coming_ends_its_connection_at_once(start_gateway):
    """Guards against strings of an unfinished reply that are kept, 12 MB for each connection."""
    was_closed = Event()

    def keep_on_coming(conn, verb, *words):
        if verb != b"fetch":
            return
        conn.sendall(b"*64\r\n$16\r\n%s\r\n$3\r\n200\r\n$7\r\npages=1\r\n" % words[0])
        try:
            for _ in range(60):
                conn.sendall(b"$190000\r\n" + b"x" * 190_000 + b"\r\n")
        except ConnectionError:
            was_closed.set()

    gateway, client = start_gateway(ScriptedEngine(keep_on_coming, serve_pages()))
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert gateway.count("engine_connections_ended_malformed") == 1
    assert was_closed.wait(1.0)  # not only after all 60


def test_engine_that_replies_faster_than_the_core_handles_it_is_held_back(start_gateway):
    """Guards against replies without end, each of them complete, that wait for the core uncounted."""
    may_go_on, sent = Event(), []

    def flood(conn, verb, *words):
        def send():
            unknown = resp.encode(b"f" * 16, b"status", b"note=share,v=0.5", b"x" * 5000) * 20
            with suppress(OSError):  # the connection ends with the test
                for _ in range(300):
                    conn.sendall(unknown)
                    sent.append(len(unknown))
                conn.sendall(resp.encode(words[0], b"200", b"pages=1", b"a\tb\tc\n"))

        if verb == b"fetch":
            Thread(target=send, daemon=True).start()

    engine = ScriptedEngine(flood)
    engine.alive_delay_s = 8.0  # an answer to a health check would arrive in the middle of a reply
    gateway, client = start_gateway(engine)
    seq = client.send_command("once", limit=7000)
    until(lambda: gateway.core.pool.connections and sent)
    (connection,) = gateway.core.pool.connections
    gateway.core.post_first(may_go_on.wait)
    waiting = []
    for _ in range(50):
        waiting.append(connection.decoder.decoded_bytes - connection.handled_bytes)
        time.sleep(0.01)
    one_read = 4 * connection.decoder.buffer.max_bytes
    assert 0 < max(waiting) <= engine_connection.MAX_UNHANDLED_REPLY_BYTES + one_read
    assert len(sent) < 300
    may_go_on.set()
    assert client.read_answer() == (seq, b"a\tb\tc\n")


def test_incomplete_results_over_their_memory_are_given_up(start_gateway):
    """Guards against pages of results that are never completed, on any number of connections."""
    engine = ScriptedEngine(serve_pages(*[b"a\tb\tc\n" * 900] * 4), serve_pages())
    gateway, client = start_gateway(engine)
    gateway.core.statement_memory.max_bytes = 12_000
    seq = client.send_command("once")
    assert client.read_answer() == (seq, "fault")  # it has run
    assert gateway.count("results_over_memory") == 1
    until(lambda: not gateway.core.attempts.page_bytes)
    seq = client.send_command()
    assert client.read_answer() == (seq, b"a\tb\tc\n")


def send_incomplete(client, arrived_bytes):
    """Send the start of a message of 80,000 bytes, of which the rest never follows."""
    client.sock.sendall(b"\x00\x01\x38\x80" + b"x" * (arrived_bytes - 4))


def test_incomplete_messages_over_their_memory_end_the_connections_that_keep_most(start_gateway):
    """Guards against hundreds of clients that each send a part of a message: 196,608 bytes a connection."""
    gateway, client = start_gateway(ScriptedEngine())
    memory = gateway.core.receive_memory
    assert memory.max_bytes == 192 * 2**20 // 16
    memory.max_bytes = 300_000
    frame = thrift.encode_message(
        thrift.CALL,
        "execute",
        1,
        execute_arguments({b"verb": b"read", b"txn": b"%016x" % 7, b"limit": b"3000"}, b" " * 10_000)
        + thrift.END_OF_STRUCT,
    )
    client.sock.sendall(frame[:9000])  # less than the others
    until(lambda: memory.used_bytes)
    others = [BlockingClient(gateway.address) for _ in range(20)]
    for other in others:
        send_incomplete(other, 70_000)
    until(lambda: gateway.count("client_connections_ended_malformed") >= 17)
    assert memory.used_bytes <= memory.max_bytes
    client.sock.sendall(frame[9000:])
    assert client.read_answer() == (1, b"a\tb\tc\n")
    until(lambda: len(gateway.listener.clients) == 1)  # the others took too long for a message
    until(lambda: not memory.used_bytes)


def test_connection_that_is_given_up_for_its_buffer_still_gets_answers_to_its_requests(start_gateway):
    engine = ScriptedEngine(never_finish)
    gateway, client = start_gateway(engine)
    gateway.core.receive_memory.max_bytes = 20_000
    seq = client.send_command("once")
    until(lambda: engine.messages(b"fetch"))
    send_incomplete(client, 60_000)
    assert client.read_answer() == (seq, "fault")
    assert client.read_answer() is None


def test_deferred_calls_and_idempotency_keys_are_counted_in_the_memory_of_requests(start_gateway):
    """Guards against what is kept of a message without being counted: all but its statement."""
    engine = ScriptedEngine(never_finish)
    gateway, client = start_gateway(engine, connect_timeout=1.0)
    memory = gateway.core.statement_memory
    memory.max_bytes = 50_000
    kept = client.send_command("mark", unique=b"k" * 20_000)
    until(lambda: 20_000 <= memory.used_bytes < 21_000)
    client.send_command("odd")  # an unknown profile: an invalid request begins a pause
    assert client.read_answer()[1] == "fault"
    deferred = client.send_command(body=b" " * 20_000)
    until(lambda: memory.used_bytes > 40_000)
    rejected = client.send_command(body=b" " * 20_000)
    assert client.read_answer() == (rejected, "shed")
    client.interrupt(deferred)
    until(lambda: memory.used_bytes < 21_000)
    client.interrupt(kept)


def test_health_checks_and_interrupts_that_wait_for_the_core_are_bounded(start_gateway):
    """Guards against events of one connection that fill the core's queue, each of a message of 30 bytes."""
    gateway, client = start_gateway(ScriptedEngine(never_finish))
    seq = client.send_command()
    until(lambda: gateway.core.requests.by_number)
    other, may_go_on = BlockingClient(gateway.address), Event()
    gateway.core.post_first(may_go_on.wait)
    for _ in range(500):
        client.interrupt(seq)
    for _ in range(500):
        other.send("check", b"\x02\0\1\1")
    until(lambda: any(each.is_ending for each in gateway.listener.clients) or len(gateway.core.queue) > 100)
    assert len(gateway.core.queue) <= client_limits.MAX_OPEN_REQUESTS + 8
    may_go_on.set()
    for _ in range(client_limits.MAX_OPEN_REQUESTS):
        assert other.read_answer().result == b""
    assert other.read_answer() is None
