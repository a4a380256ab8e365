"""Stand-ins for clients, engines and the coordinator, and a gateway process, for the cases of the review.

They follow ../given/kit/real/PROTOCOL.md and DEPLOY.md. Everything is on 127.0.0.1. Nothing of the project is
imported, so that a fault of its parsers can't hide here.
"""

import itertools
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, ClassVar, NamedTuple

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
PAGE = b"a\tb\tc\n"
START = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def now_s() -> float:
    """Return the time since the start of this script in s."""
    return time.monotonic() - START


class Record:
    """The file record.txt of a case: one line for each thing sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.lock = threading.Lock()
        self.lines = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115  open until the end

    def write(self, *words: object) -> None:
        """Write one line with the time in s since the start."""
        with self.lock:
            self.lines.write(f"{now_s():9.4f} {' '.join(map(str, words))}\n")
            self.lines.flush()


def listener(port: int = 0, backlog: int = 128) -> socket.socket:
    """Return a listening socket on a free port, or on the given one."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    sock.listen(backlog)
    return sock


def address_of(sock: socket.socket) -> str:
    """Return the HOST:PORT of a listening socket."""
    return f"{HOST}:{sock.getsockname()[1]}"


def spawn(run: Callable[..., Any], *args: Any) -> threading.Thread:
    """Run a function on a daemon thread."""
    thread = threading.Thread(target=run, args=args, daemon=True)
    thread.start()
    return thread


# Settings


class Site(NamedTuple):
    """Names of a deployment."""

    zone: str
    kind: str
    tenant: str


HINCKLEY = Site("hall-a", "std-8", "fosse-haulage")
MONTEVIDEO = Site("room-north", "c12-s10", "rambla-seguros")
site = HINCKLEY


def use_site(other: Site) -> None:
    """Use the names of this deployment from now on."""
    global site  # noqa: PLW0603  a script plays one deployment
    site = other


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: figures of kit/sites/hinckley-hub.toml, names of the wire.

    classes: changes to the class of a lookup, one dict for each class; changes: to whole sections.
    """
    base = {
        "balancers": 2,
        "me": 0,
        "my_zone": 0,
        "dcs": [site.zone],
        "kinds": [site.kind],
        "registry_mode": "push",
        "categories": [class_settings(**each) for each in classes],
        "tenants": [{"name": site.tenant, "fraction": 1.0, "allowance_per_s": 200.0}],
        "domain": {
            "parallelism": [1] * len(classes),
            "writes_tables": [False] * len(classes),
            "class_waits": [False] * len(classes),
            "cores_by_kind": [8],
            "ram_of_kind_mb": [16384],
            "grants_count": True,
            "max_grant_share": 0.4,
            "takes_priority": True,
            "note_period": 0.5,
            "tells_cost": True,
            "out_of_memory": "queue",
        },
        "limits": {
            "attempts_cap": 6,
            "cancel": True,
            "conn_idle": 15.0,
            "connect_timeout": 0.25,
            "max_open": 20000,
            "may_duplicate": False,
            "peers": False,
            "probes": False,
            "retry_after": False,
            "streams_per_conn": 100,
        },
        "rules": {
            "answer_slack": 0.02,
            "cold_from": 0.3,
            "drain_grace": 0.25,
            "fall_multiple": 3.0,
            "tip_after": 1.5,
            "warm_after": 15.0,
        },
        "telemetry": {"fields": ["inflight"], "how": "piggyback"},
        "charges": {"cross_zone": 0.022},
    }
    for section, values in changes.items():
        base[section] = base[section] | values if isinstance(base.get(section), dict) else values
    return base


def class_settings(name: str = "lookup", **changes: Any) -> dict[str, Any]:
    """Return the settings of one class; by default those of a lookup."""
    return {
        "name": name,
        "aim": 0.5,
        "aim_stretch": 1.5,
        "give_up": 2.5,
        "idempotency": "pure",
        "dedup_scope": "all",
        "window": 5.0,
        "late_worth": 0.1,
        "value": 1.0,
        "streamed": False,
    } | changes


def member(name: str, address: str, phase: str = "ready", up_since_ms: int = 0) -> dict[str, Any]:
    """Return the entry of an engine in an event of the coordinator."""
    return {
        "id": name,
        "host_port": address,
        "locality": site.zone,
        "flavor": site.kind,
        "cell": 0,
        "phase": phase,
        "size": 1,
        "up_since_ms": up_since_ms,
    }


def event(index: int, members: list[dict[str, Any]], complete: bool = False) -> dict[str, Any]:
    """Return one event of the coordinator."""
    return {
        "index": index,
        "endpoints": {"revision": index, "complete": complete, "members": members},
    }


# The gateway


class Gateway:
    """One gateway process, started by `run` of the deploy file, with a temporary folder of its own."""

    started: ClassVar[list["Gateway"]] = []

    def __init__(
        self, name: str, tree: dict[str, Any], known: dict[str, Any], coordinator: str | None
    ) -> None:
        self.name = name
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            self.port = sock.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self.path = Path(self.folder.name) / "config.json"
        configuration = {
            "name": name,
            "listen": self.address,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": coordinator,
            "known": known,
            "settings": tree,
        }
        self.path.write_text(json.dumps(configuration))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "GW_NAME": name,
            "GW_LISTEN": self.address,
            "GW_CONFIG": str(self.path),
            "TMPDIR": self.folder.name,
        }
        self.log = open(Path(self.folder.name) / "log", "wb")  # noqa: SIM115  open until the end
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.started.append(self)

    def wait_ready(self, limit_s: float = 30.0) -> bool:
        """Wait until the gateway has answered `check` with `good` true."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end and self.process.poll() is None:
            with suppress(OSError):
                client = Client(self, lambda *_: None)
                client.check()
                if client.good.wait(1.0):
                    client.close()
                    return True
                client.close()
            time.sleep(0.1)
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the gateway, if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def log_text(self) -> str:
        """Return what the gateway has logged."""
        return (Path(self.folder.name) / "log").read_text("utf-8", "replace")

    def stop(self) -> int | None:
        """End the process and remove its folder; return its exit status if it had ended before."""
        status = self.process.poll()
        if status is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()
        self.folder.cleanup()
        return status


# Clients


def _string(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def _message(kind: int, method: bytes, number: int, body: bytes) -> bytes:
    message = struct.pack(">HBB", 0x8001, 0, kind) + _string(method) + struct.pack(">i", number) + body
    return _string(message)


def request_body(fields: dict[str, str], statement: bytes) -> bytes:
    """Return the arguments of an execute call, without the end of their struct."""
    pairs = b"".join(_string(key.encode()) + _string(value.encode()) for key, value in fields.items())
    body = b"\x0d\x00\x01\x0b\x0b" + struct.pack(">i", len(fields)) + pairs
    return body + b"\x0b\x00\x02" + _string(statement)


def request_frame(number: int, body: bytes, method: bytes = b"execute") -> bytes:
    """Return the frame of a call with these arguments."""
    return _message(1, method, number, body + b"\x00")


def execute_call(number: int, fields: dict[str, str], statement: bytes) -> bytes:
    """Return the frame of one execute call."""
    return request_frame(number, request_body(fields, statement))


def interrupt_call(number: int, interrupted: int) -> bytes:
    """Return the frame of an interrupt of an earlier call."""
    return _message(4, b"interrupt", number, b"\x08\x00\x01" + struct.pack(">i", interrupted) + b"\x00")


def _answer_word(frame: bytes) -> tuple[str, int, bytes]:
    """Return (word, sequence number, body of an Answer) of a reply frame."""
    kind = frame[3]
    size = struct.unpack_from(">i", frame, 4)[0]
    number = struct.unpack_from(">i", frame, 8 + size)[0]
    at = 12 + size
    if kind == 3:
        return "exception", number, b""
    field = struct.unpack_from(">h", frame, at + 1)[0]
    if field == 1:
        return "shed", number, b""
    if field == 2:
        return "fault", number, b""
    length = struct.unpack_from(">i", frame, at + 6)[0]
    body = frame[at + 10 : at + 10 + length]
    return ("answer" if b"\x02\x00\x03\x01" in frame[at + 10 + length :] else "unfit"), number, body


class Client:
    """One connection of a client. on_answer(number, word, body) is called on the reader's thread."""

    def __init__(self, gateway: Gateway, on_answer: Callable[[int, str, bytes], Any]) -> None:
        self.sock = socket.create_connection((HOST, gateway.port), timeout=5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_answer = on_answer
        self.number = 0
        self.good = threading.Event()
        self.ended = threading.Event()
        spawn(self._read)

    def check(self) -> None:
        """Send a health check."""
        self.number += 1
        self.sock.sendall(_message(1, b"check", self.number, b"\x02\x00\x01\x01\x00"))

    def execute(self, fields: dict[str, str], statement: bytes) -> int:
        """Send one request; return its sequence number."""
        self.number += 1
        self.sock.sendall(execute_call(self.number, fields, statement))
        return self.number

    def interrupt(self, number: int) -> None:
        """Take an earlier request back."""
        self.number += 1
        self.sock.sendall(interrupt_call(self.number, number))

    def close(self) -> None:
        """Close the connection, as a client that has gone."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def _read(self) -> None:
        buffer = b""
        with suppress(OSError):
            while data := self.sock.recv(65536):
                buffer += data
                while len(buffer) >= 4 and len(buffer) >= 4 + struct.unpack_from(">i", buffer)[0]:
                    end = 4 + struct.unpack_from(">i", buffer)[0]
                    word, number, body = _answer_word(buffer[4:end])
                    buffer = buffer[end:]
                    if word == "answer":
                        self.good.set()
                    self.on_answer(number, word, body)
        self.ended.set()


class Request:
    """One request of a usual client, with all answers that arrived for it."""

    def __init__(self, txn: str, verb: str, limit_ms: int) -> None:
        self.txn = txn
        self.verb = verb
        self.limit_ms = limit_ms
        self.sent_s = 0.0
        self.answers: list[tuple[float, str]] = []


class UsualClient:
    """A usual client with one connection: sends requests, and keeps each with its answers."""

    def __init__(self, gateway: Gateway, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.requests: dict[int, Request] = {}
        self.client = Client(gateway, self._answered)

    def send(self, verb: str, limit_ms: int, statement: bytes, **fields: str) -> Request:
        """Send one request."""
        request = Request(f"{random.getrandbits(64):016x}", verb, limit_ms)
        self.requests[self.client.number + 1] = request
        request.sent_s = now_s()
        self.record.write("client", self.name, "sent", request.txn, verb, f"limit={limit_ms}")
        self.client.execute(
            {"verb": verb, "txn": request.txn, "limit": str(limit_ms), "team": site.tenant} | fields,
            statement,
        )
        return request

    def _answered(self, number: int, word: str, _body: bytes) -> None:
        request = self.requests.get(number)
        if request:
            request.answers.append((now_s(), word))
            self.record.write("client", self.name, "got", request.txn, word)


# Engines

WORK = re.compile(rb"/\* ([0-9]+) ms \*/")


class Fetch:
    """One fetch that an engine has read."""

    def __init__(self, txn: bytes, fields: dict[bytes, bytes], at_s: float, engine: str) -> None:
        self.txn = txn.decode()
        self.fields = fields
        self.at_s = at_s
        self.engine = engine
        self.is_over = False


class Engine:
    """An engine that runs all it is sent at once, each command for the time in its statement.

    It sends a status note twice a second, as the settings say, and remembers idempotency keys for window_s.
    """

    def __init__(self, name: str, record: Record, window_s: float = 0.0) -> None:
        self.name = name
        self.record = record
        self.window_s = window_s
        self.fetches: list[Fetch] = []
        self.lock = threading.Lock()
        self.sock = listener()
        self.address = address_of(self.sock)
        self.connections: list[socket.socket] = []
        spawn(self._accept)

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self.sock.accept()
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connections.append(connection)
                spawn(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        open_here: dict[bytes, Fetch] = {}
        lock = threading.Lock()
        with suppress(OSError, ValueError):
            while header := stream.readline():
                words = []
                for _ in range(int(header[1:])):
                    size = int(stream.readline()[1:])
                    words.append(stream.read(size + 2)[:size])
                self.message(connection, lock, open_here, words)
        for fetch in open_here.values():
            fetch.is_over = True

    def message(
        self,
        connection: socket.socket,
        lock: threading.Lock,
        open_here: dict[bytes, Fetch],
        words: list[bytes],
    ) -> None:
        """Handle one message from a gateway."""
        verb, txn = words[0], words[1]
        if verb == b"fetch":
            fields = dict(pair.partition(b"=")[::2] for pair in words[2].split(b","))
            fetch = Fetch(txn, fields, now_s(), self.name)
            with self.lock:
                self.fetches.append(fetch)
            self.record.write("engine", self.name, "fetch", fetch.txn, words[2].decode())
            open_here[txn] = fetch
            spawn(self.run, connection, lock, fetch, words[3])
        elif verb == b"abort":
            self.record.write("engine", self.name, "abort", txn.decode())
            if txn in open_here:
                open_here[txn].is_over = True
        elif verb == b"alive":
            self.say(connection, lock, txn, b"alive")

    def run(self, connection: socket.socket, lock: threading.Lock, fetch: Fetch, statement: bytes) -> None:
        """Run one command and answer it, unless it is given up meanwhile."""
        found = WORK.search(statement)
        end = time.monotonic() + (int(found.group(1)) if found else 50) / 1000
        while (left := end - time.monotonic()) > 0:
            time.sleep(min(left, 0.5))
            if fetch.is_over:
                return
            if time.monotonic() < end:
                self.say(connection, lock, fetch.txn.encode(), b"status", b"note=share,v=0.5", b"")
        fetch.is_over = True
        self.record.write("engine", self.name, "done", fetch.txn)
        fields = b"pages=1,cost=50,need=20,load=inflight:1"
        self.say(connection, lock, fetch.txn.encode(), b"200", fields, PAGE)

    def say(self, connection: socket.socket, lock: threading.Lock, *words: bytes) -> None:
        """Send one message."""
        data = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        with suppress(OSError), lock:
            connection.sendall(data)

    def close(self) -> None:
        """End, as a process that is stopped: no connection is accepted any more, open ones end."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for connection in self.connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


# The coordinator


class Coordinator:
    """The coordinator: tells a follower the events after the one that it names, and its number each second.

    delay_s: while above 0, all that it tells comes this much later, on old and on new connections.
    """

    def __init__(self, record: Record, events: list[dict[str, Any]]) -> None:
        self.record = record
        self.events = events
        self.changed = threading.Condition()
        self.delay_s = 0.0
        self.sock = listener()
        self.address = address_of(self.sock)
        spawn(self._accept)

    def add(self, members: list[dict[str, Any]]) -> None:
        """Add an event; it counts as being in the coordinator from now on."""
        with self.changed:
            self.events.append(event(self.events[-1]["index"] + 1, members))
            self.changed.notify_all()
        self.record.write("coordinator has", json.dumps(self.events[-1]))

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self.sock.accept()
                spawn(self._follow, connection)

    def _follow(self, connection: socket.socket) -> None:
        line = connection.makefile("rb").readline()
        self.record.write("coordinator read", line.decode().strip())
        lines: list[tuple[float, bytes]] = []  # (when to send, line)
        last = int(line.split()[1])
        beat_at = time.monotonic()
        with suppress(OSError):
            while True:
                with self.changed:
                    for each in self.events:
                        if each["index"] > last:
                            last = each["index"]
                            lines.append((time.monotonic() + self.delay_s, json.dumps(each).encode()))
                    if time.monotonic() >= beat_at:
                        beat_at = time.monotonic() + 1.0
                        lines.append((time.monotonic() + self.delay_s, b"%d" % last))
                    self.changed.wait(0.05)
                while lines and lines[0][0] <= time.monotonic():
                    text = lines.pop(0)[1]
                    connection.sendall(text + b"\n")
                    self.record.write("coordinator told", text[:60].decode())


def known(engines: list[Engine]) -> dict[str, Any]:
    """Return the `known` of a configuration with these engines, all ready and warm."""
    members = [member(engine.name, engine.address) for engine in engines]
    return {"index": 1, "updates": [event(1, members, complete=True)]}


def steady(
    clients: list[UsualClient], seconds: float, per_second: float, statement: bytes, verb: str, limit_ms: int
) -> None:
    """Have the clients send requests in turn, at a steady rate, for some seconds."""
    interval = 1 / per_second
    start = time.monotonic()
    for number, client in zip(itertools.count(), itertools.cycle(clients), strict=False):
        at = start + number * interval
        if at > start + seconds:
            return
        time.sleep(max(0.0, at - time.monotonic()))
        with suppress(OSError):  # the gateway has ended the connection
            client.send(verb, limit_ms, statement, cpu="50", memory="20")


def leave(status: int, text: str) -> None:
    """End all gateways, print the verdict and exit."""
    for gateway in Gateway.started:
        gateway.stop()
    with suppress(OSError):
        print(f"exit {status}: {text}", flush=True)
    os._exit(status)


def finish(record: Record, status: int, text: str) -> None:
    """Write the verdict, end all processes and exit."""
    record.write("verdict", status, text)
    leave(status, text)


def play(main: Callable[[], None], limit_s: float = 115.0) -> None:
    """Run a case; exit with NOT_RUN if it raises an exception or takes too long."""
    timer = threading.Timer(limit_s, leave, (NOT_RUN, f"not over after {limit_s} s"))
    timer.daemon = True
    timer.start()
    try:
        main()
    except Exception as error:  # noqa: BLE001  a fault of the script is no fault of the gateway
        leave(NOT_RUN, repr(error))
