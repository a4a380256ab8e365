"""Case 1: a load is sent again after the time for which the engines remember its mark, and runs twice."""

import socket
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
    HOST,
    MONTEVIDEO,
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
    use_site,
)

WINDOW_S = 5.0  # how long engines drop a repeat: the window of the example in WIRE-gullhold.md
SLACK_S = 0.05  # "each time limit is 50 ms longer"
RUN_S = 4.4  # the engine has done the work this long after it has received the load
REPORT_MS = 9000  # how long each report runs
FULL_S = (RUN_S - 1.0, RUN_S + 0.5)  # for this time after the load no new connection to an engine comes up
LIMIT_MS = 22_500  # 0.9 of the class's deadline
ENGINES = 4
LOADS = 2
REPORTS = 4  # so that at most a third of the connections comes up late: two of eight


class LoadEngine(Engine):
    """An engine that remembers the marks of loads for WINDOW_S, and drops repeats of them for as long.

    While its queue of new connections is full, a new one comes up only when the gateway's system tries again,
    about a second after its first try.
    """

    def __init__(self, name: str, record: Record, runs: "dict[bytes, list[float]]") -> None:
        self.runs = runs  # for each mark the times at which the load was run, at whatever engine
        self.may_accept = threading.Event()
        self.may_accept.set()
        super().__init__(name, record)
        self.sock.listen(0)

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                self.may_accept.wait()
                self.sock.settimeout(0.05)
                with suppress(TimeoutError):
                    connection, _ = self.sock.accept()
                    connection.settimeout(None)
                    self.connections.append(connection)
                    threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def fill(self) -> socket.socket:
        """Accept no connection any more, and fill the queue of new ones; return what fills it."""
        self.may_accept.clear()
        time.sleep(0.1)
        filler = socket.create_connection((HOST, self.sock.getsockname()[1]))
        self.record.write("engine", self.name, "takes no new connections")
        return filler

    def run(self, connection: socket.socket, lock: threading.Lock, fetch: Fetch, statement: bytes) -> None:
        """Run one load, unless its mark is remembered; the first answer breaks off, if there is trouble."""
        mark = fetch.fields.get(b"i")
        if mark is None:
            super().run(connection, lock, fetch, statement)
            return
        earlier = self.runs.setdefault(mark, [])
        if earlier and fetch.at_s < earlier[0] + WINDOW_S:
            self.record.write("engine", self.name, "drops a repeat of", mark.decode())
            self.say(connection, lock, fetch.txn.encode(), b"200", b"pages=1,cost=50,need=20", b"a\tb\tc\n")
            return
        earlier.append(fetch.at_s)
        self.record.write("engine", self.name, "runs", mark.decode(), "for the", len(earlier), "time")
        end = time.monotonic() + (RUN_S if len(earlier) == 1 else 0.2)
        while (left := end - time.monotonic()) > 0:
            time.sleep(min(left, 1.0))
            self.say(connection, lock, fetch.txn.encode(), b"status", b"note=share,v=0.5", b"")
        self.record.write("engine", self.name, "has run", mark.decode())
        if TROUBLE and len(earlier) == 1:
            self.record.write("engine", self.name, "the answer breaks off: reset under", fetch.txn)
            with lock:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
                connection.close()
            return
        self.say(connection, lock, fetch.txn.encode(), b"200", b"pages=1,cost=50,need=20", b"a\tb\tc\n")


def main() -> None:
    """Play the case."""
    use_site(MONTEVIDEO)
    record = Record(Path(__file__).parent)
    runs: dict[bytes, list[float]] = {}
    engines = [LoadEngine(f"s-{number}", record, runs) for number in range(ENGINES)]
    report = {
        "name": "report",
        "aim": 1.5,
        "aim_stretch": 2.5,
        "give_up": 25.0,
        "value": 8.0,
        "late_worth": 0.6,
    }
    load = {"name": "load", "idempotency": "token", "window": WINDOW_S, "dedup_scope": "all"}
    load |= {"aim": 4.0, "aim_stretch": 2.5, "give_up": 25.0, "value": 5.0, "late_worth": 0.6}
    tree = settings(
        [{"name": "lookup", "aim": 1.2, "give_up": 6.0}, report, load],
        domain={
            "cores_by_kind": [12],
            "note_period": 1.0,
            "parallelism": [1, 3, 2],
            "writes_tables": [False, False, True],
        },
        limits={"connect_timeout": 2.0, "streams_per_conn": 32},
        rules={"ratio_span": 5.0, "min_extra": 3, "extra_share": 0.1, "drain_grace": 0.5},
    )
    gateway = Gateway("n0", tree, known(engines), None)
    if not gateway.wait_ready():
        finish(record, NOT_RUN, "the gateway did not start: " + gateway.log_text())
    client = UsualClient(gateway, record, "c0")
    for number in range(LOADS):
        statement = b"insert into sales_%d.t select 1" % number
        client.send("load", LIMIT_MS, statement, unique=f"{number:032x}", cpu="8800", memory="60")
    for number in range(REPORTS):
        statement = b"select a, b, c from sales_%d.t /* %d ms */" % (number, REPORT_MS)
        client.send("report", LIMIT_MS, statement, cpu=str(3 * REPORT_MS), memory="60")
    began_s = now_s()
    if TROUBLE:
        time.sleep(FULL_S[0])
        fillers = [engine.fill() for engine in engines]
        time.sleep(began_s + FULL_S[1] - now_s())
        for engine, filler in zip(engines, fillers, strict=True):
            engine.may_accept.set()
            filler.close()
            record.write("engine", engine.name, "takes new connections again")
    time.sleep(max(0.0, began_s + WINDOW_S + 5.0 - now_s()))
    first_s: dict[bytes, float] = {}
    late = []
    loads = [fetch for engine in engines for fetch in engine.fetches if b"i" in fetch.fields]
    for fetch in sorted(loads, key=lambda each: each.at_s):
        mark = fetch.fields[b"i"]
        since_s = fetch.at_s - first_s.setdefault(mark, fetch.at_s)
        record.write("fetch of", mark.decode(), f"{since_s:.3f} s after the first")
        if since_s > WINDOW_S + SLACK_S:
            late.append(fetch)
    twice = [mark for mark, times in runs.items() if len(times) > 1]
    text = f"{len(runs)} loads, {len(late)} sent again after {WINDOW_S} s, {len(twice)} run twice"
    finish(record, BROKEN if late else HELD if len(runs) == LOADS else NOT_RUN, text)


if __name__ == "__main__":
    play(main)
