"""The store behind the published v3 interface's JSON gateway, with faults that a script asks for.

The journal, where one is asked for, has a line for each lease and transaction, refused ones too: what a
checker reads. It knows nothing of what keys mean.
"""

import json
import signal
import socket
import sqlite3
import sys
import threading
import time
from base64 import b64decode, b64encode
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from gullhold.net import host_port
from gullhold.testing.register.store import Dropped, Store

LOOK_S = 0.02  # between looks for leases that have run out
TELL_S = 0.2  # the most that a watch waits between looks at whether its reader is still there
TARGETS = {
    "MOD": ("mod_revision", "changed"),
    "CREATE": ("create_revision", "born"),
    "VERSION": ("version", "version"),
    "LEASE": ("lease", "lease"),
}
HOLDS = {
    "EQUAL": lambda a, b: a == b,
    "NOT_EQUAL": lambda a, b: a != b,
    "GREATER": lambda a, b: a > b,
    "LESS": lambda a, b: a < b,
}


def _to(data):
    return b64encode(data).decode()


def _from(word):
    return b64decode(word or "")


class Faults:
    """What a script has asked for. Each `..._until` is a monotonic time; counts are of calls still to come.

    refuse: connections are closed unread; delay_s: before a call is carried out; late_s: before its
    reply; lose: writes that are carried out and not answered; stale: reads answered as of `behind`
    changes ago.
    """

    def __init__(self):
        self.refuse_until, self.delay_until, self.delay_s, self.late_s = 0.0, 0.0, 0.0, 0.0
        self.lose, self.stale, self.behind = 0, 0, 0

    def set(self, store, told):
        """Take over what a script says; names that are not known are refused."""
        now = time.monotonic()
        for name, value in told.items():
            if name in ("refuse", "delay"):
                setattr(self, name + "_until", now + float(value))
            elif name in ("delay_s", "late_s", "lose", "stale", "behind"):
                setattr(self, name, value)
            elif name in ("rate", "early_s"):
                setattr(store, name, value)
            elif name == "drop":
                store.drop(store.revision)
            else:
                raise ValueError(f"no such fault: {name}")


class Server(ThreadingHTTPServer):
    """Listens; one thread a connection."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, address, store, journal=None, scripted=False):
        super().__init__(address, Handler)
        self.store, self.journal, self.scripted = store, journal, scripted
        self.faults, self.journal_lock, self.stopped = Faults(), threading.Lock(), False
        self.calls = Counter()

    def note(self, what, **facts):
        """A line of the journal."""
        if self.journal:
            with self.journal_lock:
                self.journal.write(json.dumps({"at": time.time(), "what": what, **facts}) + "\n")
                self.journal.flush()

    def expire(self):
        """Ends leases, for ever; for a thread."""
        while not self.stopped:
            time.sleep(LOOK_S)
            try:
                for ident in self.store.expire():
                    self.note("lease ended", lease=ident, revision=self.store.revision)
            except (sqlite3.Error, OSError) as fault:  # a disk that is full for a while: leases end later
                print(f"gullhold: leases: {fault}", file=sys.stderr, flush=True)

    def handle_error(self, *_):
        """A client that went away is no fault."""


class Handler(BaseHTTPRequestHandler):
    """One connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        """Nothing: the journal tells."""

    def handle(self):
        """Closed unread while connections are refused."""
        if time.monotonic() >= self.server.faults.refuse_until:
            super().handle()

    def do_GET(self):
        """What the published interface says of itself, and the counts of calls."""
        if self.path == "/version":
            self._say({"etcdserver": "3.5.0", "etcdcluster": "3.5.0"})
        elif self.path == "/counts":
            self._say(dict(self.server.calls))
        else:
            self._say({"code": 5, "message": "not found"}, 404)

    def do_POST(self):
        """One call."""
        faults, store = self.server.faults, self.server.store
        told = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or "{}")
        path = self.path.removeprefix("/v3/").replace("kv/lease/", "lease/")
        if self.path == "/faults" and self.server.scripted:
            faults.set(store, told)
            self._say({})
            return
        if time.monotonic() < faults.refuse_until:
            self.close_connection = True
            return
        self.server.calls[path] += 1
        if time.monotonic() < faults.delay_until:
            time.sleep(faults.delay_s)
        try:
            if path == "watch":
                self._watch(told["create_request"])
                return
            reply, writes = CALLS[path](self, told)
        except KeyError as fault:
            self._say({"error": str(fault.args[0]), "code": 5, "message": str(fault.args[0])}, 404)
            return
        if writes and faults.lose > 0:
            faults.lose -= 1
            self.server.note("reply lost", path=path)
            self.close_connection = True
            return
        if time.monotonic() < faults.delay_until and faults.late_s:
            time.sleep(faults.late_s)
        self._say(reply)

    def _say(self, reply, status=200):
        data = json.dumps(reply).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    def _header(self, revision=None):
        return {"revision": str(revision or self.server.store.revision)}

    # Calls: each returns what to say and whether it wrote

    def _grant(self, told):
        ident = self.server.store.grant(int(told["TTL"]))
        self.server.note("lease granted", lease=ident, ttl_s=int(told["TTL"]))
        return {"header": self._header(), "ID": str(ident), "TTL": str(told["TTL"])}, True

    def _keep(self, told):
        ttl = self.server.store.keep(int(told["ID"]))
        self.server.note("lease kept" if ttl else "lease not kept", lease=int(told["ID"]))
        return {
            "result": {"header": self._header(), "ID": str(told["ID"])}
            | ({"TTL": str(int(ttl))} if ttl else {})
        }, True

    def _revoke(self, told):
        if not self.server.store.revoke(int(told["ID"])):
            raise KeyError("requested lease not found")
        self.server.note("lease revoked", lease=int(told["ID"]), revision=self.server.store.revision)
        return {"header": self._header()}, True

    def _held(self, told):
        found = self.server.store.held(int(told["ID"]))
        if not found:
            return {"header": self._header(), "ID": str(told["ID"]), "TTL": "-1"}, False
        return {
            "header": self._header(),
            "ID": str(told["ID"]),
            "TTL": str(int(found[0])),
            "keys": [_to(key) for key in found[1]],
        }, False

    def _range(self, told):
        faults, store, behind = self.server.faults, self.server.store, 0
        if faults.stale > 0:
            faults.stale, behind = faults.stale - 1, faults.behind
        with store.lock:
            found = store.read(_from(told["key"]), _from(told.get("range_end")), behind)
            return {
                "header": self._header(max(1, store.revision - behind)),
                "count": str(len(found)),
                "kvs": [self._item(key, item) for key, item in found],
            }, False

    def _txn(self, told):
        store = self.server.store

        def met(keys):
            for compare in told.get("compare", ()):
                name, field = TARGETS[compare["target"]]
                item = keys.get(_from(compare["key"]))
                have = getattr(item, field) if item else 0
                if not HOLDS[compare.get("result", "EQUAL")](have, int(compare.get(name, 0))):
                    return False
            return True

        acts = [[self._act(act) for act in told.get(branch, ())] for branch in ("success", "failure")]
        with store.lock:
            held, given = store.txn(met, *acts)
            reply = {
                "header": self._header(),
                "responses": [
                    {"response_range": {"kvs": [self._item(key, item) for key, item in found]}}
                    if found is not None
                    else {"response_put": {}}
                    for found in given
                ],
            }
            if acts[0]:
                self._note(told, held, acts[0])
        return reply | ({"succeeded": True} if held else {}), any(act[0] != "range" for act in acts[0])

    def _note(self, told, held, acts):
        if not self.server.journal or all(act[0] == "range" for act in acts):
            return
        self.server.note(
            "txn",
            met=held,
            revision=self.server.store.revision,
            when=[
                [_from(compare["key"]).decode(), int(compare.get("mod_revision", 0))]
                for compare in told.get("compare", ())
            ],
            acts=[
                [kind, key.decode(), value.decode() if kind == "put" else None, lease]
                for kind, key, value, lease in acts
                if kind != "range"
            ],
        )

    def _act(self, act):
        if "request_put" in act:
            put = act["request_put"]
            return "put", _from(put["key"]), _from(put.get("value")), int(put.get("lease", 0))
        kind = "range" if "request_range" in act else "delete"
        told = act["request_range" if kind == "range" else "request_delete_range"]
        return kind, _from(told["key"]), _from(told.get("range_end")), 0

    def _item(self, key, item):
        told = {
            "key": _to(key),
            "value": _to(item.value),
            "create_revision": str(item.born),
            "mod_revision": str(item.changed),
            "version": str(item.version),
        }
        return told | ({"lease": str(item.lease)} if item.lease else {})

    # Watches

    def _watch(self, told):
        start, end = _from(told["key"]), _from(told.get("range_end"))
        store, revision = self.server.store, int(told.get("start_revision", 0))
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.close_connection = True
        self._chunk({"header": self._header(), "created": True})
        revision = revision or store.revision + 1
        self.connection.settimeout(0)
        while not self.server.stopped:
            try:
                rows, revision = store.since(revision, start, end, TELL_S)
            except Dropped as fault:
                self._chunk(
                    {"header": self._header(), "canceled": True, "compact_revision": str(fault.args[0])}
                )
                self.wfile.write(b"0\r\n\r\n")
                return
            if rows:
                self._chunk(
                    {
                        "header": self._header(),
                        "events": [
                            {"type": "DELETE", "kv": {"key": _to(key), "mod_revision": str(at)}}
                            if value is None
                            else {
                                "kv": {
                                    "key": _to(key),
                                    "value": _to(value),
                                    "mod_revision": str(at),
                                    "create_revision": str(born),
                                    "version": str(version),
                                    "lease": str(lease),
                                }
                            }
                            for at, key, value, lease, born, version in rows
                        ],
                    }
                )
            try:
                if not self.connection.recv(1, socket.MSG_PEEK):
                    return  # the reader has gone
            except BlockingIOError:
                pass

    def _chunk(self, result):
        data = json.dumps({"result": result}).encode() + b"\n"
        self.connection.settimeout(TELL_S * 10)
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()
        self.connection.settimeout(0)


CALLS = {
    "lease/grant": Handler._grant,
    "lease/keepalive": Handler._keep,
    "lease/revoke": Handler._revoke,
    "lease/timetolive": Handler._held,
    "kv/range": Handler._range,
    "kv/txn": Handler._txn,
}


def serve(listen, path, sync=True, journal=None, scripted=False, ready=lambda server: None):
    """Serve at HOST:PORT until interrupted; path: the store's file."""
    store = Store(path, sync)
    with open(journal, "a", encoding="utf-8") if journal else open("/dev/null", "w") as lines:
        server = Server(host_port(listen), store, lines if journal else None, scripted)
        # What is there: a kill may have come between a change and its line.
        server.note(
            "began",
            revision=store.revision,
            keys=[
                [key.decode(), item.value.decode(), item.changed, item.lease]
                for key, item in store.kv.items()
            ],
        )
        threading.Thread(target=server.expire, daemon=True, name="leases").start()
        ready(server)
        try:
            server.serve_forever(poll_interval=0.1)
        finally:
            server.stopped = True
            server.server_close()


def main(listen, path, sync, journal, scripted):
    """`gullhold register`: serve until SIGTERM or SIGINT; the exit status."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        serve(listen, path, sync, journal, scripted, lambda _: print(f"register on {listen}", flush=True))
    except KeyboardInterrupt:
        return 0
    except (OSError, ValueError, sqlite3.Error) as fault:
        print(f"gullhold: register on {listen}, {path}: {fault}", file=sys.stderr)
        return 2
    return 0
