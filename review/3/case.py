"""Case 3: answers of engines that keep on coming make a gateway use more memory than it has."""

import socket
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
    Engine,
    Fetch,
    Gateway,
    Record,
    UsualClient,
    finish,
    known,
    now_s,
    play,
    settings,
    spawn,
    steady,
)

MEMORY_MB = 192  # the limit that the configuration states: the largest one of scored days
LIMIT_MS = 2250  # 0.9 of the class's deadline
LOAD_S = 20.0
PER_SECOND = 100.0
SPOILT_AT_S = 3.0
SPOILT_PART = 5  # from then on each engine spoils one of so many answers
STRINGS = 64  # strings that a spoilt answer is said to have; a good one has four
STRING_BYTES = (
    190_000  # bytes of each further string: all of them hold 12 MB, a good page 6,000 bytes at most
)
KEPT_OPEN_S = 5.0  # how long its connection stays open after the last byte


class BadPeer(Engine):
    """An engine that spoils some of its good answers from a time on, if there is trouble."""

    spoils = False

    def run(self, connection: socket.socket, lock: threading.Lock, fetch: Fetch, statement: bytes) -> None:
        """Run one command, and answer it."""
        if not self.spoils or int(fetch.txn, 16) % SPOILT_PART:
            super().run(connection, lock, fetch, statement)
            return
        time.sleep(0.2)
        self.record.write("engine", self.name, "done", fetch.txn, "its answer keeps on coming")
        words = (fetch.txn.encode(), b"200", b"pages=1,cost=50,need=20,load=inflight:1")
        start = b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        further = b"$%d\r\n%s\r\n" % (STRING_BYTES, b"x" * STRING_BYTES)
        with suppress(OSError), lock:
            connection.sendall(b"*%d\r\n" % STRINGS + start)
            for _ in range(STRINGS - len(words) - 1):
                connection.sendall(further)
            time.sleep(KEPT_OPEN_S)


def main() -> None:
    """Play the case."""
    record = Record(Path(__file__).parent)
    engines = [BadPeer(f"s-{number}", record) for number in range(6)]
    tree = settings([{"name": "lookup"}], balancers=1)
    gateway = Gateway("n0", tree, known(engines), None)
    if not gateway.wait_ready():
        finish(record, NOT_RUN, "the gateway did not start: " + gateway.log_text())
    peaks = [0.0]
    spawn(guard_memory, gateway, record, peaks)
    clients = [UsualClient(gateway, record, f"c{number}") for number in range(8)]
    statement = b"select a, b, c from sales_1.t /* 200 ms */"
    end_s = now_s() + LOAD_S
    spawn(steady, clients, LOAD_S, PER_SECOND, statement, "lookup", LIMIT_MS)
    time.sleep(SPOILT_AT_S)
    BadPeer.spoils = TROUBLE
    while now_s() < end_s + LIMIT_MS / 1000 and gateway.process.poll() is None:
        time.sleep(0.1)
    ended = gateway.process.poll()
    text = f"at most {peaks[0]:.0f} MB of {MEMORY_MB} MB used, exit status {ended} before the end of the case"
    finish(record, HELD if ended is None else BROKEN, text)


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
