"""Validates the arguments of execute, and converts them to a Request in the decision module's units."""

import re
from collections.abc import Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from gullhold.admission_interface import UNKNOWN_TENANT, KnownRejections
from gullhold.interface import Agreement, Idempotency
from gullhold.net import US_PER_MS, ceil_to_ms
from gullhold.net.statement import table_group

if TYPE_CHECKING:
    from gullhold.admission.client_identity import ClientIdentifier

NUMBER_PATTERN = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,2})?\Z")
TRANSACTION_ID_PATTERN = re.compile(rb"[0-9a-fA-F]{16}\Z")
IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-+\--<>-~]*\Z")  # printable; "," and "=" separate RESP fields
MAX_TIMEOUT_FACTOR = 2  # clients may round a timeout up, to twice the longest one of any profile at most
NO_ORDERING_KEY = 0  # key of a command that may run beside any other


class Request(NamedTuple):
    """A command as a client sent it, in the decision module's units."""

    transaction_id: bytes
    profile_name: bytes
    statement: bytes
    idempotency_key: bytes
    profile: int  # index of the profile in the agreement
    tenant: int  # index of the tenant in the agreement
    ordering_key: int  # commands with the same key must not overlap; NO_ORDERING_KEY: no such limit
    timeout_us: int  # client timeout
    work_us: int  # estimated work on one core
    memory_mb: float  # estimated memory
    table_group: int  # group of the tables that the statement uses; 0: none
    is_retry: bool  # the client has sent this command before
    client_name: bytes = b""  # name by which the admission queue knows the client; empty without a queue

    @property
    def kept_bytes(self) -> int:
        """Size of what is kept of the client's message until the request is settled."""
        return len(self.statement) + len(self.idempotency_key)


class RequestFault(StrEnum):
    """What is wrong with a field of a request; the value is part of the text for the client."""

    UNKNOWN = "unknown"  # a name that is not in the agreement
    UNUSABLE = "unusable"  # missing, malformed or out of range


class RequestError(Exception):
    """An invalid request; the message, which is sent to the client, names the fault and the field."""

    def __init__(self, fault: RequestFault, field: bytes) -> None:
        super().__init__(f"{fault} {field.decode()}")
        self.fault = fault
        self.field = field


class RequestReader:
    """Converts the arguments of execute to a Request, by the profiles and tenants of one agreement.

    client_identity: determines the client_name of a request; None without an admission queue.
    retry_after_field: the field of a Shed that holds the Retry-After time; empty if there is none.
    """

    def __init__(
        self,
        agreement: Agreement,
        client_identity: "ClientIdentifier | None" = None,
        retry_after_field: bytes = b"",
    ) -> None:
        self._agreement = agreement
        self._client_identity = client_identity
        self._retry_after_field = retry_after_field
        # Indexes by name. None, for a request without the field, is never a key.
        self._profiles: dict[bytes | None, int] = {
            profile.name.encode(): i for i, profile in enumerate(agreement.profiles)
        }
        self._tenants: dict[bytes | None, int] = {
            tenant.name.encode(): i for i, tenant in enumerate(agreement.tenants)
        }
        # The largest values that this deployment can serve; a request with a larger one is unusable.
        longest_timeout_us = max((profile.timeout_us for profile in agreement.profiles), default=0)
        self._max_timeout_ms = MAX_TIMEOUT_FACTOR * longest_timeout_us / US_PER_MS or float("inf")
        self._max_work_ms = self._max_timeout_ms * max(agreement.cores_by_kind, default=1.0)
        self._max_memory_mb = max(agreement.memory_mb_by_kind, default=float("inf"))

    def known_rejection(
        self,
        fields: Mapping[bytes, bytes],
        peer: tuple[str, str],
        known_rejections: KnownRejections,
        now_us: int,
    ) -> tuple[dict[bytes, bytes]] | None:
        """Look up whether the admission queue would reject this request now.

        Returns the fields of the Shed, possibly none, as the only item of a tuple; None if the request is
        to go through the queue.
        """
        if self._client_identity is None:  # there is no admission queue
            return None
        tenant, unknown_tenant = self._client_identity.tenant(fields.get(b"team", b""))
        client_name = self._client_identity.client_name(fields, unknown_tenant, *peer)
        profile = self._profiles.get(fields.get(b"verb"))
        rejects_until_us, retry_at_us = known_rejections.get((tenant, client_name, profile), (0, None))
        if now_us >= rejects_until_us or not _has_transaction_id(fields):
            return None
        if b"second" not in fields or retry_at_us is None:
            return ({},)
        # A retry that comes before its Retry-After time gets the remainder of that time.
        if now_us < retry_at_us and self._retry_after_field:
            return (self._retry_after(retry_at_us - now_us),)
        return None

    def read_request(
        self, fields: Mapping[bytes, bytes], statement: bytes, address: str = "", connection: str = ""
    ) -> Request:
        """Convert a request, if it is valid. Raises RequestError.

        address, connection: the client's host and HOST:PORT, by which it may be named.
        """
        if not _has_transaction_id(fields):
            raise RequestError(RequestFault.UNUSABLE, b"txn")
        profile = self._profile(fields)
        tenant, unknown_tenant = self._tenant(fields)
        client_name = b""
        if self._client_identity:
            client_name = self._client_identity.client_name(fields, unknown_tenant, address, connection)
        idempotency_key = self._idempotency_key(fields, profile)
        timeout_ms = _number(fields, b"limit", self._max_timeout_ms, default=b"")
        work_ms = _number(fields, b"cpu", self._max_work_ms)
        group, table = table_group(statement.decode("utf-8", "replace"))
        return Request(
            transaction_id=fields[b"txn"],
            profile_name=fields.get(b"verb", b""),
            statement=statement,
            idempotency_key=idempotency_key,
            profile=profile,
            tenant=tenant,
            ordering_key=self._ordering_key(profile, table),
            timeout_us=int(timeout_ms * US_PER_MS),
            work_us=int(work_ms * US_PER_MS),
            memory_mb=_number(fields, b"memory", self._max_memory_mb),
            table_group=group,
            is_retry=b"second" in fields,
            client_name=client_name,
        )

    def _retry_after(self, wait_us: int) -> dict[bytes, bytes]:
        """Return the fields of a Shed with a Retry-After time, rounded up to whole milliseconds."""
        return {self._retry_after_field: b"%d" % ceil_to_ms(wait_us)}

    def _profile(self, fields: Mapping[bytes, bytes]) -> int:
        profile = self._profiles.get(fields.get(b"verb", b""))
        if profile is None:
            raise RequestError(RequestFault.UNKNOWN, b"verb")
        return profile

    def _tenant(self, fields: Mapping[bytes, bytes]) -> tuple[int, bytes | None]:
        """Return the tenant's index, and the name of an unknown tenant that uses the share of others."""
        if self._client_identity:
            tenant, unknown_tenant = self._client_identity.tenant(fields.get(b"team", b""))
        else:
            tenant = self._tenants.get(fields.get(b"team"), UNKNOWN_TENANT if self._tenants else 0)
            unknown_tenant = None
        if tenant == UNKNOWN_TENANT:
            raise RequestError(RequestFault.UNKNOWN, b"team")
        return tenant, unknown_tenant

    def _idempotency_key(self, fields: Mapping[bytes, bytes], profile: int) -> bytes:
        key = fields.get(b"unique", b"")
        is_required = self._agreement.profiles[profile].idempotency == Idempotency.KEYED
        is_missing = is_required and not key  # without the key no engine recognizes a retry
        if is_missing or not IDEMPOTENCY_KEY_PATTERN.match(key):
            raise RequestError(RequestFault.UNUSABLE, b"unique")
        return key

    def _ordering_key(self, profile: int, table: str) -> int:
        """Return the key of a command that must not overlap others on its table, as its profile says."""
        if not table or not self._agreement.profiles[profile].ordered:
            return NO_ORDERING_KEY
        return crc32(table.encode()) or 1


def _has_transaction_id(fields: Mapping[bytes, bytes]) -> bool:
    return TRANSACTION_ID_PATTERN.match(fields.get(b"txn", b"")) is not None


def _number(fields: Mapping[bytes, bytes], name: bytes, maximum: float, default: bytes = b"0") -> float:
    """Return the value of a numeric field. Raises RequestError if it is not a number or over the maximum."""
    text = fields.get(name, default)
    if not NUMBER_PATTERN.match(text) or float(text) > maximum:
        raise RequestError(RequestFault.UNUSABLE, name)
    return float(text)
