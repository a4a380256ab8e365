"""The log of request and connection events: all are kept in memory, lines are rate-limited."""

import signal
import time

from serving import free_port, is_listening, until

from gullhold.net import eventlog
from gullhold.net.eventlog import EventKind, EventLog, LoggedEvent
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config
from gullhold.testing.scripted import ScriptedEngine, reset_connection, serve_pages


def test_lines_are_suppressed_and_counted_when_they_exceed_the_rate_limit(monkeypatch):
    logged, log = [], EventLog()
    monkeypatch.setattr(
        eventlog.logger, "info", lambda template, *args: logged.append(template.format(*args))
    )
    for n in range(1000):  # within a second
        log.add(LoggedEvent(1_000_000 + n * 1000, EventKind.RETRY, f"reset {n}"))
    assert eventlog.MAX_BURST_LINES <= len(logged) <= eventlog.MAX_BURST_LINES + eventlog.MAX_LINES_PER_S + 1
    log.add(LoggedEvent(9_000_000, EventKind.RETRY, "the last"))
    assert "suppressed=" in logged[-1]
    assert "reason=the_last" in logged[-1]
    assert len(log.lines()) == eventlog.MAX_RECENT_EVENTS
    assert log.lines()[-1].startswith("at_us=9000000 event=retry")


def test_event_is_logged_when_only_another_kind_exceeds_the_rate_limit(monkeypatch):
    logged, log = [], EventLog()
    monkeypatch.setattr(
        eventlog.logger, "info", lambda template, *args: logged.append(template.format(*args))
    )
    for n in range(200):
        log.add(LoggedEvent(n, EventKind.RETRY, "reset"))
    log.add(
        LoggedEvent(
            200,
            EventKind.CONNECTION_CLOSED,
            "closed",
            connection="engine 127.0.0.1:1",
            old_state="open",
            new_state="closed",
        )
    )
    assert (
        "event=connection_closed connection=engine_127.0.0.1:1 from=open to=closed reason=closed"
        in logged[-1]
    )


def test_log_shows_the_reset_and_the_retry_of_a_request(launch_gateway, tmp_path):
    port, engine, log = free_port(), ScriptedEngine(reset_connection, serve_pages()), tmp_path / "log"
    with open(log, "wb") as file:
        process = launch_gateway(config(engine) | {"listen": f"127.0.0.1:{port}"}, stderr=file)
    until(lambda: is_listening(port))
    client = BlockingClient(("127.0.0.1", port))
    seq = client.send_command(txn=b"00000000000000ab")
    assert client.read_answer() == (seq, b"a\tb\tc\n")
    process.send_signal(signal.SIGUSR1)
    until(lambda: "recent at_us=" in log.read_text())
    time.sleep(0.1)
    text = log.read_text()
    address = engine.address
    assert (
        f"event=connection_closed connection=engine_{address} from=open to=closed open=1 reason=reset" in text
    )
    assert "event=retry request=00000000000000ab from=queued to=sent reason=reset" in text
    assert all(len(line) < 300 for line in text.splitlines())
    assert "Traceback" not in text
    engine.close()
