"""What happens between the pages of a result, and at the end of the process."""

import signal
import threading
import time

from races import CLIENTS_CLOSED_COUNTER, read_to_end
from serving import WAIT_TIMEOUT_S, Gateway, free_port, is_listening, until

from gullhold.net import resp, thrift
from gullhold.testing.client import Caller
from gullhold.testing.deployment import config, event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import Engine, ok


def test_a_drain_between_two_pages_costs_no_answer(tmp_path):
    feed = DiscoveryService()

    def drains(conn, verb, *words):
        if verb == b"more":
            feed.send(event(2, ("s-0", engine.address, "draining")))
            until(lambda: gateway.count("endpoint_list_events") == 2)
        ok(b"1\t2\t3\n", b"4\t5\t6\n")(conn, verb, *words)

    engine = Engine(drains)
    gateway = Gateway(tmp_path, config(engine) | {"coordinator": feed.address})
    client = Caller(gateway.address)
    seq = client.ask("once")
    assert client.answer() == (seq, b"1\t2\t3\n4\t5\t6\n")
    assert len(engine.messages(b"fetch")) == 1
    gateway.end()


def test_a_client_that_leaves_between_two_pages_ends_the_exchange_with_one_word(start_gateway):
    def leaves(conn, verb, *words):
        if verb == b"more":
            client.sock.close()
            until(lambda: gateway.count(CLIENTS_CLOSED_COUNTER) == 1)
            conn.sendall(resp.encode(words[0], b"chunk", b"page=1", b"4\t5\t6\n"))
        if verb == b"fetch":
            conn.sendall(resp.encode(words[0], b"200", b"pages=2,cost=20,need=64", b"1\t2\t3\n"))

    engine = Engine(leaves)
    gateway, client = start_gateway(engine)
    client.ask()
    until(lambda: engine.messages(b"done") or engine.messages(b"abort"))
    until(lambda: not gateway.core.requests.by_number)
    assert len(engine.messages(b"fetch")) == 1


def test_the_end_of_a_process_says_so_and_resets_no_connection(launch_gateway):
    """Exiting over unread bytes resets: some clients rest until the gateway ends them, and ask just then."""
    engine, port = Engine(), free_port()
    process = launch_gateway(config(engine) | {"listen": f"127.0.0.1:{port}"})
    until(lambda: is_listening(port))
    callers = [Caller(("127.0.0.1", port)) for _ in range(10)]
    for caller in callers:
        seq = caller.ask()
        assert caller.answer() == (seq, b"a\tb\tc\n")
    process.send_signal(signal.SIGTERM)
    ends, sent = [], len(engine.messages(b"fetch"))

    def rests(caller):
        """Reads to the end that the gateway says, and asks in that very moment."""
        ends.append(read_to_end(caller))
        try:
            caller.ask()
            ends.append(read_to_end(caller))
        except OSError:
            ends.append((b"", False))

    threads = [threading.Thread(target=rests, args=(caller,)) for caller in callers]
    for thread in threads:
        thread.start()
    assert process.wait(WAIT_TIMEOUT_S) == 0
    for thread in threads:
        thread.join()
    assert ends.count((b"", True)) >= 10
    assert len(engine.messages(b"fetch")) == sent
    assert [end for end in ends if end[0]] == []


def test_what_is_asked_to_the_very_end_gets_its_answer_or_a_connection_that_ends_in_good_order(
    launch_gateway,
):
    """Clients that ask again at once: the reader slept between reads, and the process ended over the rest."""
    engine, port = Engine(), free_port()
    told = config(engine) | {"listen": f"127.0.0.1:{port}"}
    for item in told["settings"]["categories"]:
        item["give_up"] = 1.0
    process = launch_gateway(told)
    until(lambda: is_listening(port))
    broken, odd = [], []

    def asks():
        caller = Caller(("127.0.0.1", port))
        while True:
            try:
                seq = caller.ask(limit=900)
            except OSError:
                return  # it had ended before
            answer = caller.answer()
            if answer is None:
                return
            if answer[0] != seq:
                odd.append(answer)
            if answer[1] not in (b"a\tb\tc\n", "shed"):
                broken.append(answer)
            time.sleep(0.002)

    threads = [threading.Thread(target=asks) for _ in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    began = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0
    assert time.monotonic() - began < 1.0 + 0.7
    for thread in threads:
        thread.join(WAIT_TIMEOUT_S)
    assert not broken
    assert not odd


def test_frames_read_by_clients_are_whole_however_their_connection_ends(start_gateway):
    """What was put before the end goes out whole, and nothing after it."""
    gateway, client = start_gateway(Engine(ok(b"x\ty\tz\n" * 800)))
    seq = client.ask()
    until(lambda: gateway.count("answered") == 1)
    (inside,) = gateway.listener.clients
    inside.write_buffer.finish()
    inside.put(thrift.encode_shed(99, {}))  # too late: passed over, no fault
    assert client.answer() == (seq, b"x\ty\tz\n" * 800)
    assert read_to_end(client) == (b"", True)
    assert not gateway.count("answers_undeliverable")
