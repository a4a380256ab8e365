"""Case 3: a hundred and fifty bad clients make a gateway use more memory than it has."""

import struct
import sys
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
ITEMS = 190_000  # bytes of one message: far below the 60 MB that bad clients send
LIMIT_MS = 2250
LOAD_S = 15.0
PER_SECOND = 20.0
BAD_AT_S = 3.0


def bad_bytes() -> bytes:
    """Return what a bad client sends: a request without an id, and one with an argument that nobody reads."""
    fields = {"verb": "lookup", "txn": "0123456789abcdef", "limit": "2250", "team": site.tenant}
    nothing = (
        b"\x0f\x00\x03\x0c" + struct.pack(">i", ITEMS) + bytes(ITEMS)
    )  # field 3: a list of empty structs
    unreadable = request_frame(2, request_body(fields, b"select 1") + nothing)
    return execute_call(1, {"verb": "lookup"}, b"select 1") + unreadable


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
    load = spawn(steady, clients, LOAD_S, PER_SECOND, b"select a, b, c from sales_1.t", "lookup", LIMIT_MS)
    time.sleep(BAD_AT_S)
    if TROUBLE:
        data = bad_bytes()
        bad = [Client(gateway, lambda *_: None) for _ in range(BAD_CLIENTS)]
        record.write(BAD_CLIENTS, "bad clients connected; each sends", len(data), "bytes")
        for client in bad:
            spawn(send_all, client, data)
    load.join()
    time.sleep(LIMIT_MS / 1000)
    ended = gateway.process.poll()
    text = f"at most {peaks[0]:.0f} MB of {MEMORY_MB} MB used, exit status {ended} before the end of the case"
    finish(record, HELD if ended is None else BROKEN, text, [gateway])


def send_all(client: Client, data: bytes) -> None:
    """Have a bad client send at full speed what it has."""
    with suppress(OSError):
        client.sock.sendall(data)


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
