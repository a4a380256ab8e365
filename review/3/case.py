"""Case 3: a hundred and fifty bad clients make a gateway use more memory than it has."""

import struct
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Client,
    Engine,
    Gateway,
    Record,
    UsualClient,
    execute_call,
    finish,
    known,
    play,
    request_body,
    request_frame,
    settings,
    site,
    spawn,
    steady,
)

MEMORY_MB = 192  # the limit that the configuration states: the largest one of scored days
BAD_CLIENTS = 150  # "others connect by the hundreds"; a third of 1,024 descriptors is 341
ITEMS = 190_000  # bytes of the second message; far below the 60 MB that bad clients send
ROUNDS = 5  # each bad client sends the same thing again, as soon as it is turned away
LIMIT_MS = 2250
LOAD_S = 45.0
PER_SECOND = 20.0
BAD_AT_S = 3.0


class BadClient:
    """A bad client: sends two messages that nobody can use, and the same again once they are answered."""

    def __init__(self, gateway: Gateway) -> None:
        self.answers = threading.Semaphore(0)
        self.client = Client(gateway, lambda *_: self.answers.release())

    def run(self) -> None:
        """Send the messages ROUNDS times."""
        with suppress(OSError):
            for number in range(1, 2 * ROUNDS, 2):
                self.client.sock.sendall(bad_bytes(number))
                for _ in range(2):
                    self.answers.acquire(timeout=15)


def bad_bytes(number: int) -> bytes:
    """Return the messages: a request with no id, and one with an argument that nobody knows.

    number: the sequence number of the first.
    """
    fields = {"verb": "lookup", "txn": "0123456789abcdef", "limit": "2250", "team": site.tenant}
    nothing = (
        b"\x0f\x00\x03\x0c" + struct.pack(">i", ITEMS) + bytes(ITEMS)
    )  # field 3: a list of empty structs
    no_id = execute_call(number, {"verb": "lookup", "team": site.tenant}, b"select 1")
    return no_id + request_frame(number + 1, request_body(fields, b"select 1") + nothing)


def main() -> None:
    """Play the case."""
    record = Record(Path(__file__).parent)
    engines = [Engine(f"s-{number}", record) for number in range(4)]
    gateway = Gateway("n0", settings([{"name": "lookup"}]), known(engines), None)
    if not gateway.wait_ready():
        finish(record, NOT_RUN, "the gateway did not start: " + gateway.log_text(), [gateway])
    peaks = [0.0]
    spawn(guard_memory, gateway, record, peaks)
    clients = [UsualClient(gateway, record, f"c{number}") for number in range(4)]
    spawn(steady, clients, LOAD_S, PER_SECOND, b"select a, b, c from sales_1.t", "lookup", LIMIT_MS)
    time.sleep(BAD_AT_S)
    if TROUBLE:
        bad = [BadClient(gateway) for _ in range(BAD_CLIENTS)]
        record.write(BAD_CLIENTS, "bad clients connected; each sends", len(bad_bytes(1)), "bytes at once")
        for client in bad:
            spawn(client.run)
    end = time.monotonic() + LOAD_S - BAD_AT_S + LIMIT_MS / 1000
    while time.monotonic() < end and gateway.process.poll() is None:
        time.sleep(0.1)
    ended = gateway.process.poll()
    text = f"at most {peaks[0]:.0f} MB of {MEMORY_MB} MB used, exit status {ended} before the end of the case"
    finish(record, HELD if ended is None else BROKEN, text, [gateway])


def guard_memory(gateway: Gateway, record: Record, peaks: list[float]) -> None:
    """Do what the platform does: kill the gateway once it uses more memory than its configuration states."""
    while gateway.process.poll() is None:
        used_mb = memory_mb(gateway.process.pid)
        if used_mb > peaks[0] + 10:
            record.write("the gateway uses", f"{used_mb:.0f} MB")
        peaks[0] = max(peaks[0], used_mb)
        if used_mb > MEMORY_MB:
            record.write("the platform kills the gateway for memory:", f"{used_mb:.0f} MB")
            gateway.process.kill()
        time.sleep(0.02)


def memory_mb(pid: int) -> float:
    """Return the memory of a process that belongs to it alone: without the pages of files."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


if __name__ == "__main__":
    play(main)
