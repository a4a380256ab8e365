"""Identifies the tenant of a command, and the client inside the tenant by a name of bounded size."""

import ipaddress
import socket
from collections.abc import Mapping, Sequence
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

from gullhold.admission_interface import UNKNOWN_TENANT

if TYPE_CHECKING:
    from gullhold.operator.records import ClientIdentityRecord

MAX_PLAIN_NAME_BYTES = 48  # longer names are replaced by their hashes
NAME_HASH_BYTES = 16
IPV6_BITS = 128
IPV4_MAPPED_PREFIX_BITS = 96  # prefix length of ::ffff:0:0/96, the IPv4 addresses mapped into IPv6


class NameKind(bytes, Enum):
    """First byte of a client's name: what the rest identifies, so that names of two kinds never collide."""

    TENANT = b"t"
    CLIENT = b"c"
    NETWORK = b"n"
    ADDRESS = b"a"  # IP address or connection outside the rule's networks


class NetworkRule(NamedTuple):
    """How the clients in a network are told apart.

    identified_by: "network" (all clients in it are one), "address" or "connection".
    """

    name: str
    identified_by: str


class ClientIdentifier:
    """Identifies tenants by their names, and clients by the rule of the operator file.

    tenants: names by index in the agreement; fallback_tenant: the index of the tenant whose share unknown
    tenants use, or None where only known tenants are accepted.
    """

    def __init__(
        self, rule: "ClientIdentityRecord", tenants: Sequence[str], fallback_tenant: int | None = None
    ) -> None:
        self._tenants = {name: index for index, name in enumerate(tenants)}
        self._fallback_tenant = fallback_tenant
        self._field = rule.field.encode()  # the request field that names the client
        self._identifies_by_address = rule.otherwise == "address"
        self._networks = None
        if rule.networks:
            import pytricia  # noqa: PLC0415  needed only where networks are named

            self._networks = pytricia.PyTricia(IPV6_BITS, socket.AF_INET6)
            for network in rule.networks:
                prefix = _as_ipv6(ipaddress.ip_network(network.net, strict=False))
                self._networks[prefix] = NetworkRule(network.name, network.each)

    def tenant(self, name: bytes) -> tuple[int, bytes | None]:
        """Return a tenant's index or UNKNOWN_TENANT, and the name of an unknown tenant that is accepted.

        Where the agreement names no tenants, all commands belong to one tenant of index 0.
        """
        known_tenant = self._tenants.get(name.decode("utf-8", "replace"))
        if known_tenant is not None:
            return known_tenant, None
        if not self._tenants:
            return 0, None
        if self._fallback_tenant is not None:
            return self._fallback_tenant, name
        return UNKNOWN_TENANT, None

    def client_name(
        self, fields: Mapping[bytes, bytes], unknown_tenant: bytes | None, address: str, connection: str
    ) -> bytes:
        """Return the name of a command's client inside its tenant, of bounded size.

        fields: the request's fields; unknown_tenant: the name that tenant() returned; address, connection:
        names of the client's address and connection. All clients of an unknown tenant count as one.
        """
        if unknown_tenant is not None:
            return _bounded_name(NameKind.TENANT, unknown_tenant)
        client = fields.get(self._field) if self._field else None
        if client:
            return _bounded_name(NameKind.CLIENT, client)
        network = self._network_rule(address)
        if network is not None:
            names = {"network": network.name, "address": address}
            name = names.get(network.identified_by, connection)
            return _bounded_name(NameKind.NETWORK, str(name).encode())
        name = address if self._identifies_by_address else connection
        return _bounded_name(NameKind.ADDRESS, str(name).encode())

    def _network_rule(self, address: str) -> NetworkRule | None:
        """Return the rule of the smallest network that an address is in."""
        if self._networks is None:
            return None
        try:
            return self._networks.get(_as_ipv6(ipaddress.ip_network(address)))
        except ValueError:  # the address is no IP address
            return None


def _as_ipv6(network: ipaddress.IPv4Network | ipaddress.IPv6Network) -> str:
    """Return a network as IPv6 text, IPv4 in the mapped range, so that one table holds both."""
    if network.version == 6:
        return str(network)
    return f"::ffff:{network.network_address}/{IPV4_MAPPED_PREFIX_BITS + network.prefixlen}"


def _bounded_name(kind: NameKind, name: bytes) -> bytes:
    """Return a kind and a name as bytes of bounded size; a long name is replaced by its hash."""
    if len(name) > MAX_PLAIN_NAME_BYTES:
        return kind + b"#" + blake2b(name, digest_size=NAME_HASH_BYTES).digest()
    return kind + b":" + name
