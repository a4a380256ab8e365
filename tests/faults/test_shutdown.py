"""The end of a process, with deadlines of any length, while clients go on asking on open connections."""

import signal
import time
from threading import Thread

import pytest
from serving import WAIT_TIMEOUT_S

from faults.plan import Plan
from faults.traffic import FaultyGateway, statement
from gullhold.testing.client import BlockingClient

CROSSING_S = 0.05  # s in which a request may cross the end of its connection, from the protocol
AFTER_S = 0.7  # s behind the longest deadline (3 s at most) at which SIGKILL may come: the protocol
SPARE_S = 0.15  # s that this machine may be late in writing down when something happened


class PacedClient(Thread):
    """Sends requests at an even pace on one connection until that ends; keeps when each was written."""

    def __init__(self, address, record, number, pause_s, limit_ms, odd=False):
        super().__init__(daemon=True)
        self.caller, self.record, self.number = BlockingClient(address), record, number
        self.pause_s, self.limit_ms, self.odd = pause_s, limit_ms, odd
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
                    self.written[serial] = time.monotonic()  # first: its answer may come at once
                    self.caller.send_command("odd" if self.odd else "read", self.limit_ms, txn=txn, body=body)
                time.sleep(self.pause_s)
        except OSError:
            pass  # its end
        reader.join(WAIT_TIMEOUT_S)

    def _read(self):
        try:
            while (found := self.caller.read_answer()) is not None:
                self.written.pop(found[0], None)
        except OSError:
            pass
        self.ended_at = time.monotonic()

    def lost(self):
        """Requests without an answer that were written well before the end."""
        return [seq for seq, at in self.written.items() if at < self.ended_at - CROSSING_S - SPARE_S]


@pytest.mark.parametrize("deadline_s", [0.3, 0.6, 1.5])
@pytest.mark.parametrize("hangs", [False, True])
def test_all_that_was_asked_before_the_end_is_answered_and_the_end_comes_in_time(tmp_path, deadline_s, hangs):
    plan = Plan(tmp_path)
    gateway = FaultyGateway(tmp_path, plan)
    for category in gateway.configuration["settings"]["categories"]:
        category["give_up"], category["aim"] = deadline_s, deadline_s / 3
    with gateway:
        clients = [
            PacedClient(gateway.address, gateway.record, n, 0.02, int(deadline_s * 1000), odd=n >= 6)
            for n in range(8)
        ]  # two ask for what can't be used, again and again
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
        assert time.monotonic() - began < deadline_s + AFTER_S
        for client in clients:
            client.join(WAIT_TIMEOUT_S)
        assert [client.lost() for client in clients] == [[]] * len(clients)
        assert not gateway.record.violations
        assert "Traceback" not in gateway.log_text()
