"""Client connections: when they are closed, what is bounded on them, and which ones make room for others."""

import socket
import time
from threading import Thread

from serving import open_sequence_ids, until

from gullhold.net import client_connection, listener, thrift
from gullhold.testing.client import Caller
from gullhold.testing.scripted import Engine, endless, says


def test_a_broken_frame_ends_that_connection_alone(start_gateway):
    gateway, client = start_gateway(Engine())
    for data in (
        b"\xff\xff\xff\xff",
        b"\x7f\xff\xff\xff",
        b"\0\0\0\x08GET / HT",
        thrift.encode_answer("execute", 1),
    ):
        other = Caller(gateway.address)
        other.sock.sendall(data)
        assert other.answer() is None
    cut = Caller(gateway.address)
    cut.sock.sendall(b"\0\0\1\0abc")
    cut.sock.close()
    seq = client.ask()
    assert client.answer() == (seq, b"a\tb\tc\n")
    assert gateway.count("client_connections_ended_malformed") == 4


def test_a_sequence_number_that_is_open_ends_the_connection_and_its_work(start_gateway):
    engine = Engine(endless)
    gateway, client = start_gateway(engine)
    client.ask(seq=5)
    until(lambda: engine.messages(b"fetch"))
    client.ask(seq=5)
    assert client.answer() == (5, "shed")  # what it had asked gets its one answer, and only that
    assert client.answer() is None
    until(lambda: engine.messages(b"abort"))


def test_a_client_that_ends_its_side_has_gone_and_what_it_had_open_is_given_up(start_gateway):
    """The end of the client's side is no half close: nothing is sent for it any more (the users' term).

    Before that, its queued requests were still sent and answered.
    """
    engine = Engine(endless)
    gateway, client = start_gateway(engine)
    client.ask("once")
    until(lambda: engine.messages(b"fetch"))
    client.sock.shutdown(socket.SHUT_WR)
    assert client.answer() is None  # no answer is owed, and our side ends too
    until(lambda: engine.messages(b"abort") and not gateway.core.requests.by_number)
    assert len(engine.messages(b"fetch")) == 1
    assert not gateway.count("answered")


def test_an_idle_client_connection_is_closed_but_not_while_a_request_is_open(start_gateway, monkeypatch):
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client_connection, "MESSAGE_TIMEOUT_S", 0.1)
    gateway, client = start_gateway(Engine(endless))
    idle = Caller(gateway.address)
    seq = client.ask("once", limit=1200)
    assert idle.answer() is None
    assert client.answer() == (seq, "fault")  # long after the time for idle ones
    assert client.answer() is None
    until(lambda: gateway.count("client_connections_ended_idle") == 2)


def test_those_who_say_nothing_or_half_or_take_all_back_are_closed_and_their_room_is_given_on(
    start_gateway, monkeypatch
):
    monkeypatch.setattr(client_connection, "MESSAGE_TIMEOUT_S", 0.2)
    gateway, client = start_gateway(Engine(endless))
    half, back = Caller(gateway.address), Caller(gateway.address)
    half.sock.sendall(b"\0\0\1\0\x80\1")
    for _ in range(30):
        back.interrupt(back.ask())
    for caller in (client, half, back):
        assert caller.answer() is None
    # What was taken back at once counts for no share of the fleet.
    assert gateway.core.gateway.components.traffic.count < 1
    monkeypatch.setattr(client_connection, "MESSAGE_TIMEOUT_S", 60)
    gateway.listener.max_clients = 10
    crowd = [Caller(gateway.address) for _ in range(40)]
    asks = Caller(gateway.address)
    seq = asks.send("check", b"\x02\0\1\1")
    assert asks.answer() == (seq, b"")
    assert gateway.count("idle_clients_closed") >= 31
    assert all(caller.answer() is None for caller in crowd[:30])


def test_what_bad_clients_ask_at_full_speed_is_refused_and_bounded(start_gateway):
    engine = Engine(says(b"500"))
    gateway, client = start_gateway(engine)
    for name, word in (("cpu", b"1e40"), ("memory", b"1e12"), ("cpu", b"1_0"), ("memory", b" 5")):
        seq = client.ask(**{name: word})
        assert client.answer() == (seq, "fault")
    assert not engine.received
    seq = client.ask()  # an id that no engine knows: an error on each
    assert client.answer() == (seq, "shed")
    assert len(engine.messages(b"fetch")) <= 6
    many = Caller(gateway.address)
    engine.script[:] = [endless]
    for _ in range(60):
        many.ask()
    until(lambda: gateway.count("rejected_connection_limit") == 28)
    many.ask(seq=7)  # a number that was there before
    until(lambda: gateway.count("client_connections_ended_malformed") == 1)


def test_hundreds_taken_back_before_the_core_comes_to_them_never_reach_the_module(start_gateway):
    gateway, client = start_gateway(Engine())
    gateway.core.post(time.sleep, 0.3)  # the core is behind
    for _ in range(20):
        client.interrupt(client.ask())
    until(lambda: gateway.count("interrupted") == 20)
    assert gateway.core.gateway.submitted_count == 0


def test_one_dismissed_for_room_is_still_answered_what_had_come(start_gateway):
    gateway, client = start_gateway(Engine())
    client.send("check", b"\x02\0\1\1")
    client.answer()
    (inside,) = gateway.listener.clients
    gateway.core.post(time.sleep, 0.2)
    seqs = [client.ask() for _ in range(3)]
    inside.dismiss()
    assert sorted(client.answer() for _ in seqs) == [(seq, b"a\tb\tc\n") for seq in seqs]
    assert client.answer() is None


def test_a_connection_that_came_just_now_makes_room_for_nobody(start_gateway):
    gateway, client = start_gateway(Engine())
    gateway.listener.max_clients = 8
    old = [Caller(gateway.address) for _ in range(6)]
    until(lambda: len(gateway.listener.clients) == 7)
    time.sleep(client_connection.CROSSING_TIME_S + 0.05)
    new = [Caller(gateway.address) for _ in range(5)]
    for caller in new:
        seq = caller.ask()
        assert caller.answer() == (seq, b"a\tb\tc\n")
    assert all(caller.answer() is None for caller in old[:4])


def test_a_request_that_was_taken_back_makes_room_at_once_for_the_next(start_gateway):
    gateway, client = start_gateway(Engine(endless))
    seqs = [client.ask() for _ in range(32)]
    until(lambda: len(open_sequence_ids(gateway)) == 32)
    gateway.core.post(time.sleep, 0.3)  # the core is behind
    for seq in seqs[:5]:
        client.interrupt(seq)
        client.ask()
    until(lambda: len(open_sequence_ids(gateway)) == 32 and gateway.count("interrupted") == 5)
    assert not gateway.count("rejected_connection_limit")


def test_a_client_that_ends_before_the_listener_goes_on_holds_no_room(start_gateway, monkeypatch):
    class Inline(Thread):
        def start(self):
            self.run()  # it is over before start() returns

    gateway, client = start_gateway(Engine())
    until(lambda: gateway.count("client_connections_accepted") == 1)
    monkeypatch.setattr(listener, "Thread", Inline)
    for _ in range(3):
        Caller(gateway.address).sock.close()
    until(lambda: gateway.count("client_connections_accepted") == 4)
    assert len(gateway.listener.clients) == 1
