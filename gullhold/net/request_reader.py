"""Reads the arguments of execute: what a client asks for, in the units of the decision module."""

import re
from typing import NamedTuple
from zlib import crc32

from gullhold.admission.client_identity import CLOSED
from gullhold.interface import Idempotency
from gullhold.net import statement

FIGURE = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,2})?\Z")
TXN = re.compile(rb"[0-9a-fA-F]{16}\Z")
UNIQUE = re.compile(rb"[!-+\--<>-~]*\Z")  # printable, without the signs that a list of fields is built of


class Request(NamedTuple):
    """A command as a client asked for it, in the module's units."""

    txn: bytes
    verb: bytes
    body: bytes
    unique: bytes
    profile: int
    tenant: int
    key: int
    limit_us: int
    work_us: int
    need_mb: float
    group: int
    repeat: bool
    flow: bytes = b""  # whose it is inside its tenant, where a door asks


class RequestError(Exception):
    """A request that can't be used; the text is for the client."""


def _figure(fields, name, most, absent=b"0"):
    """A figure of a request, no more than this deployment can do."""
    word = fields.get(name, absent)
    if not FIGURE.match(word) or float(word) > most:
        raise RequestError(f"unusable {name.decode()}")
    return float(word)


class RequestReader:
    """Turns the arguments of execute into a Request, with the names of one agreement."""

    def __init__(self, agreement, whose=None, come_back=b""):
        self.agreement, self.whose = agreement, whose  # whose: tells clients apart, where there is a door
        self.come_back = come_back  # the field of Shed that says when to come back
        self.profiles = {profile.name.encode(): i for i, profile in enumerate(agreement.profiles)}
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(agreement.tenants)}
        # The most of a limit (ms; for clients that round), of work (ms on one core) and of memory (MB).
        longest = max((profile.timeout_us for profile in agreement.profiles), default=0)
        self.limit_most = 2 * longest / 1000 or float("inf")
        self.work_most = self.limit_most * max(agreement.cores_by_kind, default=1.0)
        self.memory_most = max(agreement.memory_mb_by_kind, default=float("inf"))

    def shut(self, fields, peer, shut, now):
        """(fields of the Shed,) where the door would turn this away with no more than is known, or None."""
        tenant, stranger = self.whose.tenant(fields.get(b"team", b""))
        name = self.whose.flow(fields, stranger, *peer)
        until, first = shut.get((tenant, name, self.profiles.get(fields.get(b"verb"))), (0, None))
        if now >= until or not TXN.match(fields.get(b"txn", b"")):
            return None
        if b"second" not in fields or first is None:
            return ({},)
        early = first > now and self.come_back  # it came before any time that was promised
        return ({self.come_back: b"%d" % -((now - first) // 1000)},) if early else None

    def request(self, fields, body, address="", connection=""):
        """The request, or RequestError."""
        txn, verb = fields.get(b"txn", b""), fields.get(b"verb", b"")
        if not TXN.match(txn):
            raise RequestError("unusable txn")
        if verb not in self.profiles:
            raise RequestError("unknown verb")
        tenant, stranger = (
            self.whose.tenant(fields.get(b"team", b""))
            if self.whose
            else (self.tenants.get(fields.get(b"team"), CLOSED if self.tenants else 0), None)
        )
        if tenant == CLOSED:
            raise RequestError("unknown team")
        flow = self.whose.flow(fields, stranger, address, connection) if self.whose else b""
        profile, unique = self.profiles[verb], fields.get(b"unique", b"")
        if (
            not UNIQUE.match(unique)
            or not unique
            and self.agreement.profiles[profile].idempotency == Idempotency.KEYED
        ):
            raise RequestError("unusable unique")  # without it no engine knows a repeat
        limit = _figure(fields, b"limit", self.limit_most, absent=b"")
        work = _figure(fields, b"cpu", self.work_most)
        group, table = statement.group(body.decode("utf-8", "replace"))
        key = crc32(table.encode()) or 1 if table and self.agreement.profiles[profile].ordered else 0
        return Request(
            txn,
            verb,
            body,
            unique,
            profile,
            tenant,
            key,
            int(limit * 1000),
            int(work * 1000),
            _figure(fields, b"memory", self.memory_most),
            group,
            b"second" in fields,
            flow,
        )
