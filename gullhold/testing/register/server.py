"""The HTTP server of the store: the JSON form of etcd's v3 interface, with faults that a test can request."""

import json
import signal
import socket
import sqlite3
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from gullhold.net import split_host_port
from gullhold.testing.register.calls import NOT_FOUND_CODE, Calls
from gullhold.testing.register.faults import Faults
from gullhold.testing.register.journal import Journal
from gullhold.testing.register.store import Store
from gullhold.testing.register.store_types import CompactedError, StoredChange
from gullhold.testing.register.wire import Json, decode_range, encode_change

EXPIRY_INTERVAL_S = 0.02  # time between checks for expired leases
READER_CHECK_INTERVAL_S = 0.2  # time after which a watch without changes checks whether its reader has gone
WATCH_WRITE_TIMEOUT_S = 10 * READER_CHECK_INTERVAL_S
REPORTED_VERSION = {"etcdserver": "3.5.0", "etcdcluster": "3.5.0"}
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class StoreServer(ThreadingHTTPServer):
    """Serves a store, with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, address: tuple[str, int], store: Store, journal: Journal, is_scripted: bool) -> None:
        """is_scripted: whether clients may request faults."""
        super().__init__(address, ConnectionHandler)
        self.store = store
        self.journal = journal
        self.is_scripted = is_scripted
        self.is_stopped = False
        self.faults = Faults()
        self.calls = Calls(store, journal, self.faults)
        self.call_counts: Counter[str] = Counter()

    def expire_leases(self) -> None:
        """End expired leases until the server is stopped; runs on a thread of its own."""
        while not self.is_stopped:
            time.sleep(EXPIRY_INTERVAL_S)
            try:
                for lease_id in self.store.expire_leases():
                    self.journal.write("lease ended", lease=lease_id, revision=self.store.revision)
            except (sqlite3.Error, OSError) as error:  # such as a full disk: the leases end at a later check
                print(f"gullhold: leases: {error}", file=sys.stderr, flush=True)

    def handle_error(self, *_: Any) -> None:
        """Do nothing: a connection that its client has closed is not an error."""


class ConnectionHandler(BaseHTTPRequestHandler):
    """Handles the requests of one connection."""

    server: StoreServer
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_: Any) -> None:
        """Do nothing: the journal takes the place of a request log."""

    def handle(self) -> None:
        """Serve the connection, or close it unread while a fault refuses connections."""
        if not self.server.faults.is_refusing():
            super().handle()

    def do_GET(self) -> None:
        """Answer the version of the interface, and the number of calls by path."""
        if self.path == "/version":
            self._answer(REPORTED_VERSION)
        elif self.path == "/counts":
            self._answer(dict(self.server.call_counts))
        else:
            self._answer({"code": NOT_FOUND_CODE, "message": "not found"}, HTTP_NOT_FOUND)

    def do_POST(self) -> None:
        """Carry out one call of the interface, or set the faults that a test requests."""
        faults = self.server.faults
        request = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or "{}")
        if self.path == "/faults" and self.server.is_scripted:
            faults.set(self.server.store, request)
            self._answer({})
            return
        if faults.is_refusing():
            self.close_connection = True
            return
        path = self.path.removeprefix("/v3/").replace("kv/lease/", "lease/")
        self.server.call_counts[path] += 1
        faults.delay_call()
        try:
            self._call(path, request)
        except KeyError as error:
            message = str(error.args[0])
            self._answer({"error": message, "code": NOT_FOUND_CODE, "message": message}, HTTP_NOT_FOUND)

    def _call(self, path: str, request: Json) -> None:
        if path == "watch":
            self._watch(request["create_request"])
            return
        answer = self.server.calls.carry_out(path, request)
        if answer.is_write and self.server.faults.loses_reply():
            self.server.journal.write("reply lost", path=path)
            self.close_connection = True
            return
        self.server.faults.delay_reply()
        self._answer(answer.body)

    def _answer(self, body: Json, status: int = HTTP_OK) -> None:
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    # Watches

    def _watch(self, request: Json) -> None:
        """Send the changes of a range until the reader has closed the connection."""
        start, range_end = decode_range(request)
        store = self.server.store
        revision = int(request.get("start_revision", 0))
        self._begin_stream()
        revision = revision or store.revision + 1
        self.connection.settimeout(0)
        while not self.server.is_stopped:
            try:
                changes, revision = store.changes_since(revision, start, range_end, READER_CHECK_INTERVAL_S)
            except CompactedError as error:
                self._end_compacted(error.first_revision)
                return
            if changes:
                self._send_changes(changes)
            if self._has_reader_gone():
                return

    def _begin_stream(self) -> None:
        self.send_response(HTTP_OK)
        self.send_header("Content-Type", "application/json")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.close_connection = True
        self._send_chunk({"header": self.server.calls.header(), "created": True})

    def _send_changes(self, changes: list[StoredChange]) -> None:
        events = [encode_change(change) for change in changes]
        self._send_chunk({"header": self.server.calls.header(), "events": events})

    def _end_compacted(self, first_revision: int) -> None:
        header = self.server.calls.header()
        self._send_chunk({"header": header, "canceled": True, "compact_revision": str(first_revision)})
        self.wfile.write(b"0\r\n\r\n")

    def _has_reader_gone(self) -> bool:
        try:
            return not self.connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False

    def _send_chunk(self, result: Json) -> None:
        data = json.dumps({"result": result}).encode() + b"\n"
        self.connection.settimeout(WATCH_WRITE_TIMEOUT_S)
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()
        self.connection.settimeout(0)


def serve(
    listen: str,
    path: str | Path,
    sync: bool = True,
    journal: str | None = None,
    scripted: bool = False,
    on_ready: Callable[[], None] = lambda: None,
) -> None:
    """Serve at HOST:PORT until KeyboardInterrupt.

    path: data file; sync: changes survive a loss of power; journal: path, None for no journal; scripted:
    clients may request faults; on_ready: called once the server listens.
    """
    store = Store(path, sync)
    with open(journal or "/dev/null", "a", encoding="utf-8") as lines:
        journal_writer = Journal(lines if journal else None)
        server = StoreServer(split_host_port(listen), store, journal_writer, scripted)
        journal_writer.write_start(store.revision, store.keys)
        threading.Thread(target=server.expire_leases, daemon=True, name="leases").start()
        on_ready()
        try:
            server.serve_forever(poll_interval=0.1)
        finally:
            server.is_stopped = True
            server.server_close()


def main(listen: str, path: str, sync: bool, journal: str | None, scripted: bool) -> int:
    """Run `gullhold store`: serve until SIGTERM or SIGINT; return the exit status."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        serve(listen, path, sync, journal, scripted, lambda: print(f"register on {listen}", flush=True))
    except KeyboardInterrupt:
        return 0
    except (OSError, ValueError, sqlite3.Error) as error:
        print(f"gullhold: register on {listen}, {path}: {error}", file=sys.stderr)
        return 2
    return 0
