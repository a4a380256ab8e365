"""The write buffer of a connection: withdrawal, its limit and its end."""

import socket
from threading import Thread

from serving import until

from gullhold.net.connection import Connection
from gullhold.net.counters import Counters
from gullhold.net.flusher import Flusher
from gullhold.net.write_buffer import Rejection, SendConditions, WriteBuffer


def running_flusher():
    """Return a flusher whose thread is running."""
    flusher = Flusher()
    Thread(target=flusher.run, daemon=True).start()
    return flusher


def tcp_pair():
    """Return both sockets of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return socket.create_connection(sock.getsockname()), sock.accept()[0]


def test_only_messages_of_which_nothing_was_written_can_be_withdrawn():
    ours, theirs = tcp_pair()
    write_buffer, connection = WriteBuffer(50_000_000, Counters(), running_flusher()), Connection(ours)
    waiting = b"w" * 10
    assert write_buffer.put(waiting) == 10
    assert not write_buffer.is_written(10)
    assert write_buffer.withdraw(waiting)
    assert not write_buffer.withdraw(waiting)
    write_buffer.attach(connection)
    large, last = b"x" * 9_000_000, b"y" * 10
    end = write_buffer.put(large)  # more than the socket accepts: the flusher writes the rest
    write_buffer.put(last)
    assert not write_buffer.is_written(end)
    assert not write_buffer.withdraw(large)
    assert write_buffer.withdraw(last)
    assert not write_buffer.finish()
    received = bytearray()
    while data := theirs.recv(1 << 20):  # ends when all is written and our side is shut down
        received += data
    assert bytes(received) == large
    assert write_buffer.is_written(end)
    assert write_buffer.put(b"z") == -1
    theirs.close()


def test_a_full_write_buffer_rejects_and_finishing_it_wakes_the_reader_and_the_flusher():
    ours, theirs = tcp_pair()
    write_buffer, connection = WriteBuffer(10_000_000, Counters(), running_flusher()), Connection(ours)
    write_buffer.attach(connection)
    assert write_buffer.put(b"x" * 9_000_000) > 0
    assert write_buffer.put(b"x" * 9_000_000) == -1
    until(lambda: write_buffer.flusher.waiting)  # but for moments in which its thread looks at it
    assert write_buffer.finish(now=True)
    until(lambda: not write_buffer.flusher.waiting)
    assert ours.recv(1) == b""  # a reader thread blocked here would wake
    # The descriptor must not be reused before the reader closes the connection.
    assert ours.fileno() >= 0
    assert connection.fileno() >= 0
    connection.close()
    assert ours.fileno() < 0
    assert connection.fileno() < 0
    theirs.close()


def test_conditions_are_checked_again_when_a_message_that_had_to_wait_is_written():
    """Guards against checks at the decision alone: the peer may read what is before a message much later."""
    ours, theirs = tcp_pair()
    write_buffer = WriteBuffer(50_000_000, Counters(), running_flusher())
    allowed, discarded = {b"first", b"second"}, []

    def conditions(message):
        return SendConditions(
            is_allowed=lambda: message in allowed,
            reencode=lambda: message + b" as of now",
            discarded=lambda: discarded.append(message),
        )

    write_buffer.attach(Connection(ours))
    assert write_buffer.put(b"never", conditions(b"never")) == Rejection.NOT_ALLOWED
    large = b"x" * 9_000_000  # more than the socket accepts: the flusher writes the rest
    write_buffer.put(large)
    ends = [write_buffer.put(message, conditions(message)) for message in (b"first", b"second")]
    last_end = write_buffer.put(b"third")
    allowed.remove(b"first")
    assert not discarded
    write_buffer.finish()
    received = bytearray()
    while data := theirs.recv(1 << 20):
        received += data
    assert bytes(received[len(large) :]) == b"second as of nowthird"
    assert discarded == [b"first"]
    assert write_buffer.size == 0
    assert write_buffer.is_written(last_end)
    assert ends[0] < ends[1] < last_end
    theirs.close()
