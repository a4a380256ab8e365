"""The write buffer of a connection: withdrawal, backpressure and its end."""

import socket
from threading import Thread

from serving import until

from gullhold.net.connection import Connection
from gullhold.net.counters import Counters
from gullhold.net.flusher import Flusher
from gullhold.net.write_buffer import WriteBuffer


def flushing():
    """A flusher that runs."""
    flusher = Flusher()
    Thread(target=flusher.run, daemon=True).start()
    return flusher


def tcp_pair():
    """Two sockets of one connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return socket.create_connection(sock.getsockname()), sock.accept()[0]


def test_only_messages_of_which_nothing_was_written_can_be_withdrawn():
    ours, theirs = tcp_pair()
    pipe, connection = WriteBuffer(50_000_000, Counters(), flushing()), Connection(ours)
    waits = b"w" * 10
    assert pipe.put(waits) == 10
    assert not pipe.is_written(10)
    assert pipe.withdraw(waits)
    assert not pipe.withdraw(waits)
    pipe.attach(connection)
    large, last = b"x" * 9_000_000, b"y" * 10
    end = pipe.put(large)  # more than the system takes: a writer goes on with it
    pipe.put(last)
    assert not pipe.is_written(end)
    assert not pipe.withdraw(large)
    assert pipe.withdraw(last)
    assert not pipe.finish()
    got = bytearray()
    while data := theirs.recv(1 << 20):  # to the end: our side is shut once all is out
        got += data
    assert bytes(got) == large
    assert pipe.is_written(end)
    assert pipe.put(b"z") == -1
    theirs.close()


def test_a_full_write_buffer_rejects_and_finishing_it_wakes_the_reader_and_the_flusher():
    ours, theirs = tcp_pair()
    pipe, connection = WriteBuffer(10_000_000, Counters(), flushing()), Connection(ours)
    pipe.attach(connection)
    assert pipe.put(b"x" * 9_000_000) > 0
    assert pipe.put(b"x" * 9_000_000) == -1
    assert pipe.flusher.waiting
    assert pipe.finish(now=True)
    until(lambda: not pipe.flusher.waiting)
    assert ours.recv(1) == b""  # the reader wakes, and closes: until then the number is nobody else's
    assert ours.fileno() >= 0
    assert connection.fileno() >= 0
    connection.close()
    assert ours.fileno() < 0
    assert connection.fileno() < 0
    theirs.close()
