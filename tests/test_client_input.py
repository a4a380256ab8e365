"""What has arrived from a client counts before an attempt of it is sent, whatever has delayed its reader.

Guards against attempts for requests that were taken back, or whose client has closed, while the interrupt or
the end lay unread (review cases 9 and 10).
"""

import signal
import socket
import threading
import time
from types import SimpleNamespace

import pytest
from races import LateEngine
from serving import Gateway, free_port, is_listening, until

from gullhold.net import backpressure, client_input, held_attempts
from gullhold.net.client_input import ClientInput, InputState
from gullhold.net.connection import Connection
from gullhold.net.event_loop import STALL_US
from gullhold.net.reading_turns import ReadingTurns
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import ScriptedEngine
from gullhold.testing.working_engine import WorkingEngine, statement

TAKEN_BACK = b"f%015x" % 1
OTHER = b"f%015x" % 2


class HeldReaders:
    """Keeps the readers of some clients from reading until release(), as a pause of the process would."""

    def __init__(self, monkeypatch):
        self.released = threading.Event()
        self.held = set()
        wait = ClientInput.wait

        def wait_and_hold(client_input, wait_s):
            is_ready = wait(client_input, wait_s)
            while client_input in self.held and not self.released.wait(0.01):
                pass
            return is_ready

        monkeypatch.setattr(ClientInput, "wait", wait_and_hold)

    def hold(self, gateway, client):
        """Hold the reader of a client, which must be waiting for input."""
        port = client.sock.getsockname()[1]
        inputs = [
            each.input for each in gateway.listener.clients if each.peer.connection.endswith(f":{port}")
        ]
        self.held.update(inputs)


@pytest.fixture
def readers(monkeypatch):
    return HeldReaders(monkeypatch)


@pytest.fixture
def waiting(tmp_path, readers):  # noqa: ARG001  before the threads of the gateway start
    """A gateway without engines, and a client whose request waits for one until list_engine()."""
    discovery = DiscoveryService()
    gateway = Gateway(tmp_path, config() | {"coordinator": discovery.address})
    client = BlockingClient(gateway.address)
    seq = client.send_command(txn=TAKEN_BACK, limit=7000)
    until(lambda: gateway.core.requests.by_number)
    engine = ScriptedEngine()

    def list_engine(address=engine.address):
        discovery.send(endpoint_list_event(2, ("s-0", address, "ready")))

    yield SimpleNamespace(gateway=gateway, client=client, seq=seq, engine=engine, list_engine=list_engine)
    gateway.end()
    engine.close()


def sent(engine):
    """Return the ids of the requests that an engine got."""
    return [words[2] for words in engine.messages(b"fetch")]


def leave(client, seq, how):
    """Take a request back, or close the connection with much still unread."""
    if how == "interrupts":
        client.interrupt(seq)
        return
    for number in range(20):
        client.send_command(txn=b"e%015x" % number, body=statement(5).ljust(3000))
    if how == "closes":
        client.sock.close()
    else:
        client.sock.shutdown(socket.SHUT_WR)


HOW = ("interrupts", "closes", "ends its side")


def expect_only_other(waiting):
    """Have another client's request answered, and check that no other one was sent."""
    other = BlockingClient(waiting.gateway.address)
    seq = other.send_command(txn=OTHER)
    assert other.read_answer() == (seq, b"a\tb\tc\n")
    until(lambda: not waiting.gateway.core.requests.by_number)
    assert sent(waiting.engine) == [OTHER]


@pytest.mark.parametrize("how", HOW)
def test_nothing_is_sent_for_a_client_that_left_while_its_reader_stood_still(waiting, readers, how):
    readers.hold(waiting.gateway, waiting.client)
    leave(waiting.client, waiting.seq, how)
    waiting.list_engine()
    until(lambda: waiting.gateway.count("attempts_held"))
    readers.released.set()
    expect_only_other(waiting)


@pytest.mark.parametrize("how", HOW)
def test_nothing_is_sent_for_a_client_that_left_while_its_reader_waited_for_its_turn(waiting, how):
    with waiting.gateway.core.reading_turns.turn("another reader"):
        leave(waiting.client, waiting.seq, how)
        time.sleep(0.05)  # the reader reads, and waits for its turn unless it sees the end
        waiting.list_engine()
        until(lambda: waiting.gateway.count("attempts_held") or not waiting.gateway.core.requests.by_number)
    expect_only_other(waiting)


@pytest.mark.parametrize("how", HOW)
def test_nothing_is_sent_for_a_client_that_left_while_the_core_stood_still(waiting, how):
    blocked, released = threading.Event(), threading.Event()
    waiting.list_engine()
    waiting.gateway.core.post(lambda: (blocked.set(), released.wait(5)))
    assert blocked.wait(5)
    leave(waiting.client, waiting.seq, how)
    time.sleep(0.05)
    released.set()
    until(lambda: not waiting.gateway.core.requests.by_number or waiting.engine.messages(b"fetch"))
    assert sent(waiting.engine) in ([], [TAKEN_BACK])  # the list may have come before the block


@pytest.mark.parametrize("how", HOW)
def test_nothing_is_sent_for_a_client_that_left_while_its_engine_was_connecting(waiting, readers, how):
    late = LateEngine()
    waiting.list_engine(late.address)
    until(lambda: waiting.gateway.count("attempts_sent"))
    readers.hold(waiting.gateway, waiting.client)
    leave(waiting.client, waiting.seq, how)
    connection = late.accept()
    connection.settimeout(0.2)
    until(
        lambda: (
            waiting.gateway.count("attempts_held") or waiting.gateway.count("attempts_ended_connect_failed")
        )
    )
    readers.released.set()
    with pytest.raises(TimeoutError):
        raise AssertionError(f"the engine received {connection.recv(100)!r}")
    until(lambda: not waiting.gateway.core.requests.by_number)
    connection.close()


@pytest.mark.parametrize("how", HOW)
def test_nothing_is_sent_for_a_client_that_left_while_its_connection_was_drained(waiting, readers, how):
    """Guards against the end of a client that is not seen in the shutdown, as our reading side is shut down.

    Its unread requests were read, and sent for up to their client timeout (seed 1003 of the soak).
    """
    (connection,) = waiting.gateway.listener.clients
    readers.hold(waiting.gateway, waiting.client)
    connection.drain()
    leave(waiting.client, waiting.seq, how)
    waiting.list_engine()
    until(lambda: waiting.gateway.count("attempts_held"))
    readers.released.set()
    until(lambda: not waiting.gateway.core.requests.by_number)
    assert sent(waiting.engine) == []


def test_requests_taken_back_in_a_pause_are_not_sent_behind_full_deferred_calls(start_gateway):
    """Guards against interrupts that stay unread while no more calls can be deferred (review case 9)."""
    engine = ScriptedEngine()
    gateway, client = start_gateway(engine)
    for _ in range(3):
        client.send_command("odd")  # no such profile: a pause begins
        time.sleep(0.02)
        long_statement = statement(5).ljust(backpressure.MAX_DEFERRED_BYTES // 2)
        seqs = [client.send_command("read", limit=7000, body=long_statement) for _ in range(32)]
        time.sleep(0.02)
        for seq in seqs:
            client.interrupt(seq)
        time.sleep(0.5)
    assert not sent(engine)
    until(lambda: not gateway.core.requests.by_number)


def test_a_request_is_sent_once_its_reader_has_caught_up(waiting, readers, monkeypatch):
    readers.hold(waiting.gateway, waiting.client)
    monkeypatch.setattr(held_attempts, "MAX_INPUT_WAIT_US", 60_000_000)
    second = waiting.client.send_command(txn=OTHER, limit=7000)
    waiting.list_engine()
    until(lambda: waiting.gateway.count("attempts_held"))
    assert not sent(waiting.engine)
    readers.released.set()
    answers = {waiting.client.read_answer() for _ in range(2)}
    assert answers == {(waiting.seq, b"a\tb\tc\n"), (second, b"a\tb\tc\n")}
    assert sorted(sent(waiting.engine)) == [TAKEN_BACK, OTHER]


def test_a_request_is_held_no_longer_than_the_limit(waiting, readers):
    readers.hold(waiting.gateway, waiting.client)
    waiting.client.interrupt(77)  # of no request
    began = time.monotonic()
    waiting.list_engine()
    until(lambda: waiting.engine.messages(b"fetch"))
    assert time.monotonic() - began >= held_attempts.MAX_INPUT_WAIT_US / 1e6 - 0.01
    readers.released.set()
    assert waiting.client.read_answer() == (waiting.seq, b"a\tb\tc\n")


def test_a_stall_does_not_count_towards_the_limit_as_the_reader_stood_still_too(waiting, readers):
    """Guards against an attempt that is sent right after a stop, before the interrupts are read."""
    readers.hold(waiting.gateway, waiting.client)
    waiting.client.interrupt(77)  # of no request
    waiting.list_engine()
    until(lambda: waiting.gateway.count("attempts_held"))
    core = waiting.gateway.core
    (pending,) = core.requests.by_number.values()
    attempt = pending.attempt
    attempt.held_until_us -= 10 * STALL_US  # as if the timer were late
    core.post(core.attempts.held._limit_reached, attempt)
    waiting.client.interrupt(waiting.seq)
    time.sleep(0.05)
    assert attempt.is_held
    assert not waiting.engine.messages(b"fetch")
    readers.released.set()
    expect_only_other(waiting)


def test_a_client_that_writes_without_end_delays_neither_others_nor_its_own_requests_for_long(start_gateway):
    gateway, flooding = start_gateway(ScriptedEngine())
    is_over = threading.Event()

    def flood():
        while not is_over.is_set():
            flooding.interrupt(2**30)

    thread = threading.Thread(target=flood, daemon=True)
    lock, send = threading.Lock(), flooding.send

    def send_locked(*args, **kwargs):
        with lock:
            return send(*args, **kwargs)

    flooding.send = send_locked
    thread.start()
    other = BlockingClient(gateway.address)
    for client in (flooding, other) * 5:
        began = time.monotonic()
        seq = client.send_command()
        assert client.read_answer() == (seq, b"a\tb\tc\n")
        # Its own request is read only after all that it has written before.
        if client is other:
            assert time.monotonic() - began < 2 * held_attempts.MAX_INPUT_WAIT_US / 1e6
    is_over.set()
    thread.join()


@pytest.mark.parametrize("clients", [1, 16])
def test_no_attempt_follows_an_interrupt_that_arrived_while_the_process_was_stopped(launch_gateway, clients):
    """Guards against engines' answers that are handled before clients' interrupts (review case 10)."""
    fetched = {}

    class RecordingEngine(WorkingEngine):
        def _receive(self, connection, words):
            if words[0] == b"fetch":
                fetched[words[1]] = time.monotonic()
            super()._receive(connection, words)

    engines, port = [RecordingEngine(slots=2) for _ in range(2)], free_port()
    configuration = config(*engines) | {"listen": f"127.0.0.1:{port}"}
    configuration["settings"]["domain"]["cores_by_kind"] = [2]
    process = launch_gateway(configuration)
    until(lambda: is_listening(port))
    callers = [BlockingClient(("127.0.0.1", port)) for _ in range(clients)]
    requests = {}
    for number in range(64):
        caller, txn = callers[number % clients], b"%016x" % (10**6 + number)
        requests[txn] = caller, caller.send_command(txn=txn, limit=7000, body=statement(700))
    time.sleep(0.5)
    process.send_signal(signal.SIGSTOP)
    time.sleep(0.05)
    queued = {txn: each for txn, each in requests.items() if txn not in fetched}
    for caller, seq in queued.values():
        caller.interrupt(seq)
    taken_back_at = time.monotonic()
    assert queued
    time.sleep(1.3)
    process.send_signal(signal.SIGCONT)
    time.sleep(0.6)
    late = {txn for txn in queued if fetched.get(txn, 0.0) > taken_back_at + 0.15}
    assert not late
    for engine in engines:
        engine.close()


@pytest.fixture
def pair():
    """The input of a connection, and the socket at its other end."""
    near, far = socket.socketpair()
    yield ClientInput(Connection(near)), far
    near.close()
    far.close()


def read(own_input, size=100):
    return own_input.recv_into(memoryview(bytearray(size)))


def test_input_is_handled_only_once_the_reader_says_so(pair):
    own_input, far = pair
    assert own_input.state() == InputState.HANDLED
    far.sendall(b"x" * 10)
    assert own_input.state() == InputState.UNREAD
    assert read(own_input) == 10
    assert own_input.state() == InputState.UNREAD  # read, but not handled
    own_input.handled()
    assert own_input.state() == InputState.HANDLED
    far.sendall(b"x")
    far.close()
    assert own_input.state() == InputState.CLOSED  # though a byte is unread


def test_a_mark_is_reached_when_all_before_it_is_handled_though_more_has_arrived(pair):
    own_input, far = pair
    reached = []
    assert own_input.mark(lambda: reached.append(0)) is None
    far.sendall(b"x" * 100)
    assert own_input.mark(lambda: reached.append(1))
    far.sendall(b"x" * 100)
    assert own_input.mark(lambda: reached.append(2)).target == 200
    far.sendall(b"x" * 100)
    read(own_input)
    assert not reached
    own_input.handled()
    assert reached == [1]
    assert own_input.is_awaited
    read(own_input)
    own_input.handled()
    assert reached == [1, 2]
    assert not own_input.is_awaited


def test_a_mark_that_is_set_during_a_read_waits_for_its_end_and_for_what_is_unread(pair):
    own_input, far = pair
    reached = []
    far.sendall(b"x" * 300)
    read(own_input)
    assert own_input.mark(lambda: reached.append(1)).target is None
    far.sendall(b"x" * 1000)
    for _ in range(3):
        assert not reached
        own_input.handled()
        read(own_input)
    own_input.handled()
    assert reached == [1]


def test_a_cancelled_mark_makes_no_call(pair):
    own_input, far = pair
    far.sendall(b"x")
    own_input.mark(lambda: pytest.fail("a cancelled mark was reached")).cancel()
    read(own_input)
    own_input.handled()


def test_unread_bytes_count_though_the_wait_fails(pair, monkeypatch):
    own_input, far = pair
    far.sendall(b"x")

    class FailingPoll:
        def register(self, *_):
            pass

        def poll(self, *_):
            raise OSError(12, "no memory")

    monkeypatch.setattr(client_input.select, "poll", FailingPoll)
    assert own_input.state() == InputState.UNREAD


def test_a_reader_that_goes_first_has_its_turn_before_those_that_wait():
    turns, order, threads = ReadingTurns(), [], []

    def run(name, goes_first=False):
        with turns.turn(name, goes_first):
            order.append(name)

    with turns.turn("holder"):
        for name in ("a", "b", "c"):
            threads.append(threading.Thread(target=run, args=(name,)))
            threads[-1].start()
            until(lambda: len(turns._waiting) == len(threads))
        turns.let_first("c")
        turns.let_first("nobody")
        threads.append(threading.Thread(target=run, args=("d", True)))
        threads[-1].start()
        until(lambda: "d" in turns._waiting_first)
    for thread in threads:
        thread.join()
    assert order == ["c", "a", "d", "b"]  # of those that go first, every second turn at most
    with turns.turn("again"):
        pass


def test_an_attempt_is_held_no_longer_than_its_request_may_wait(start_gateway, monkeypatch):
    """Guards against a request that only its guard answers at the client timeout."""
    monkeypatch.setattr(ClientInput, "state", lambda _input: InputState.UNREAD)
    monkeypatch.setattr(ClientInput, "mark", lambda _input, call: client_input.InputMark(call, 0, None))
    monkeypatch.setattr(held_attempts, "MAX_INPUT_WAIT_US", 60_000_000)
    gateway, client = start_gateway(ScriptedEngine())
    seq = client.send_command(limit=600)
    assert client.read_answer() == (seq, "shed")
    assert not gateway.count("requests_overdue")
