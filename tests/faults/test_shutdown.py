"""Graceful shutdown with short and long client timeouts, while clients go on sending on open connections."""

import signal
import time
from threading import Thread

import pytest
from serving import WAIT_TIMEOUT_S

from faults.plan import Plan
from faults.traffic import FaultyGateway, statement
from gullhold.testing.client import BlockingClient

# The protocol allows that a request written this shortly before its connection's end goes unanswered.
CROSSING_S = 0.05
KILL_AFTER_TIMEOUT_S = 0.7  # from the end of the longest client timeout (counted as at most 3 s) to SIGKILL
RECORDING_DELAY_S = 0.15  # a client on a busy machine may record the time of an event this much too late


class PacedClient(Thread):
    """Sends requests at even intervals on one connection until it ends, and records when each was written.

    has_unknown_profile: requests have an unknown profile, so that they are not dispatched.
    """

    def __init__(self, address, record, number, pause_s, limit_ms, has_unknown_profile=False):
        super().__init__(daemon=True)
        self.caller, self.record, self.number = BlockingClient(address), record, number
        self.pause_s, self.limit_ms, self.has_unknown_profile = pause_s, limit_ms, has_unknown_profile
        self.written, self.ended_at, self.violations = {}, None, []

    def run(self):
        """Send requests until the connection ends, and read answers on a thread beside it."""
        reader = Thread(target=self._read, daemon=True)
        reader.start()
        serial = 0
        try:
            while self.ended_at is None:
                if len(self.written) < 16:
                    serial += 1
                    txn = b"%08x%08x" % (self.number + 1, serial)
                    body = statement(txn, 1)
                    self.record.requests[txn] = (1, body)
                    # Recorded before it is sent, as its answer may come at once.
                    self.written[serial] = time.monotonic()
                    self.caller.send_command(
                        "odd" if self.has_unknown_profile else "read", self.limit_ms, txn=txn, body=body
                    )
                time.sleep(self.pause_s)
        except OSError:
            pass  # the connection has ended
        reader.join(WAIT_TIMEOUT_S)

    def _read(self):
        try:
            while (answer := self.caller.read_answer()) is not None:
                self.written.pop(answer[0], None)
        except OSError:
            pass
        self.ended_at = time.monotonic()

    def unanswered(self):
        """Return the requests without an answer that were written early enough to be answered."""
        return [
            seq for seq, at in self.written.items() if at < self.ended_at - CROSSING_S - RECORDING_DELAY_S
        ]


@pytest.mark.parametrize("deadline_s", [0.3, 0.6, 1.5])
@pytest.mark.parametrize("hangs", [False, True])
def test_every_request_is_answered_and_the_process_ends_in_time_when_it_is_terminated(
    tmp_path, deadline_s, hangs
):
    plan = Plan(tmp_path)
    gateway = FaultyGateway(tmp_path, plan)
    for category in gateway.configuration["settings"]["categories"]:
        category["give_up"], category["aim"] = deadline_s, deadline_s / 3
    with gateway:
        clients = [
            PacedClient(
                gateway.address, gateway.record, n, 0.02, int(deadline_s * 1000), has_unknown_profile=n >= 6
            )
            for n in range(8)
        ]  # the last two send requests that can't be dispatched
        for client in clients:
            client.start()
        time.sleep(0.5)
        if hangs:
            for engine in gateway.engines:
                engine.hangs = True
            time.sleep(0.1)
        began = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait(WAIT_TIMEOUT_S) == 0
        assert time.monotonic() - began < deadline_s + KILL_AFTER_TIMEOUT_S
        for client in clients:
            client.join(WAIT_TIMEOUT_S)
        assert [client.unanswered() for client in clients] == [[]] * len(clients)
        assert not gateway.record.violations
        assert "Traceback" not in gateway.log_text()
