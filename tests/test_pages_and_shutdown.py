"""Events between the pages of a result, and connections at the end of the process."""

import signal
import threading
import time

from races import CLIENTS_CLOSED_COUNTER, read_to_end
from serving import WAIT_TIMEOUT_S, Gateway, free_port, is_listening, until

from gullhold.net import resp, thrift
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config, endpoint_list_event
from gullhold.testing.discovery_service import DiscoveryService
from gullhold.testing.scripted import ScriptedEngine, serve_pages


def test_a_result_is_complete_when_its_engine_drains_between_two_pages(tmp_path):
    discovery = DiscoveryService()

    def drain_before_second_page(conn, verb, *words):
        if verb == b"more":
            discovery.send(endpoint_list_event(2, ("s-0", engine.address, "draining")))
            until(lambda: gateway.count("endpoint_list_events") == 2)
        serve_pages(b"1\t2\t3\n", b"4\t5\t6\n")(conn, verb, *words)

    engine = ScriptedEngine(drain_before_second_page)
    gateway = Gateway(tmp_path, config(engine) | {"coordinator": discovery.address})
    client = BlockingClient(gateway.address)
    seq = client.send_command("once")
    assert client.read_answer() == (seq, b"1\t2\t3\n4\t5\t6\n")
    assert len(engine.messages(b"fetch")) == 1
    gateway.end()


def test_the_engine_gets_done_or_abort_when_the_client_leaves_between_two_pages(start_gateway):
    def leave_before_second_page(conn, verb, *words):
        if verb == b"more":
            client.sock.close()
            until(lambda: gateway.count(CLIENTS_CLOSED_COUNTER) == 1)
            conn.sendall(resp.encode(words[0], b"chunk", b"page=1", b"4\t5\t6\n"))
        if verb == b"fetch":
            conn.sendall(resp.encode(words[0], b"200", b"pages=2,cost=20,need=64", b"1\t2\t3\n"))

    engine = ScriptedEngine(leave_before_second_page)
    gateway, client = start_gateway(engine)
    client.send_command()
    until(lambda: engine.messages(b"done") or engine.messages(b"abort"))
    until(lambda: not gateway.core.requests.by_number)
    assert len(engine.messages(b"fetch")) == 1


def test_connections_of_idle_clients_end_without_a_reset_when_the_process_ends(launch_gateway):
    """A process that exits with unread bytes resets the connection.

    Idle clients that send a request just when the gateway shuts down its side cause this.
    """
    engine, port = ScriptedEngine(), free_port()
    process = launch_gateway(config(engine) | {"listen": f"127.0.0.1:{port}"})
    until(lambda: is_listening(port))
    callers = [BlockingClient(("127.0.0.1", port)) for _ in range(10)]
    for caller in callers:
        seq = caller.send_command()
        assert caller.read_answer() == (seq, b"a\tb\tc\n")
    process.send_signal(signal.SIGTERM)
    ends, fetch_count = [], len(engine.messages(b"fetch"))

    def request_at_end(caller):
        """Read to the end of the stream, and send a request at that moment."""
        ends.append(read_to_end(caller))
        try:
            caller.send_command()
            ends.append(read_to_end(caller))
        except OSError:
            ends.append((b"", False))

    threads = [threading.Thread(target=request_at_end, args=(caller,)) for caller in callers]
    for thread in threads:
        thread.start()
    assert process.wait(WAIT_TIMEOUT_S) == 0
    for thread in threads:
        thread.join()
    assert ends.count((b"", True)) >= 10
    assert len(engine.messages(b"fetch")) == fetch_count
    assert [end for end in ends if end[0]] == []


def test_requests_sent_during_the_shutdown_are_answered_or_their_connection_ends_without_a_reset(
    launch_gateway,
):
    """Guards against a reader that sleeps between reads while clients send their next requests at once.

    The process then exits with unread requests and resets the connections.
    """
    engine, port = ScriptedEngine(), free_port()
    configuration = config(engine) | {"listen": f"127.0.0.1:{port}"}
    for item in configuration["settings"]["categories"]:
        item["give_up"] = 1.0
    process = launch_gateway(configuration)
    until(lambda: is_listening(port))
    wrong_results, wrong_ids = [], []

    def send_requests():
        caller = BlockingClient(("127.0.0.1", port))
        while True:
            try:
                seq = caller.send_command(limit=900)
            except OSError:
                return  # the connection had ended before
            answer = caller.read_answer()
            if answer is None:
                return
            if answer[0] != seq:
                wrong_ids.append(answer)
            if answer[1] not in (b"a\tb\tc\n", "shed"):
                wrong_results.append(answer)
            time.sleep(0.002)

    threads = [threading.Thread(target=send_requests) for _ in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    began = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_TIMEOUT_S) == 0
    assert time.monotonic() - began < 1.0 + 0.7
    for thread in threads:
        thread.join(WAIT_TIMEOUT_S)
    assert not wrong_results
    assert not wrong_ids


def test_answers_put_before_the_end_of_a_connection_arrive_whole_and_later_ones_are_dropped(start_gateway):
    gateway, client = start_gateway(ScriptedEngine(serve_pages(b"x\ty\tz\n" * 800)))
    seq = client.send_command()
    until(lambda: gateway.count("answered") == 1)
    (gateway_side,) = gateway.listener.clients
    gateway_side.write_buffer.finish()
    gateway_side.put(thrift.encode_shed(99, {}))  # dropped, as our side ends; not counted as undeliverable
    assert client.read_answer() == (seq, b"x\ty\tz\n" * 800)
    assert read_to_end(client) == (b"", True)
    assert not gateway.count("answers_undeliverable")
