"""Whose command it is: the tenant, and inside it the client, as bytes that stay short."""

import ipaddress
import socket
from hashlib import blake2b

from gullhold.admission_interface import UNKNOWN_TENANT

NAME_MOST = 48  # bytes of a client's name that are kept as they are; longer ones count by their hash


class ClientIdentifier:
    """Tells flows apart by the operator's rule.

    rule: a ClientRule record (field, networks, otherwise); tenants: names by index; others: the index of the
    tenant in whose part unknown names share, or None where only known tenants may come.
    """

    def __init__(self, rule, tenants, others=None):
        self.tenants, self.others = {name: i for i, name in enumerate(tenants)}, others
        self.field, self.each_address = rule.field.encode(), rule.otherwise == "address"
        self.networks = None
        if rule.networks:
            import pytricia  # noqa: PLC0415  needed only where networks are named

            self.networks = pytricia.PyTricia(128, socket.AF_INET6)
            for net in rule.networks:
                self.networks[mapped(ipaddress.ip_network(net.net, strict=False))] = net.name, net.each

    def tenant(self, name):
        """(tenant's index or UNKNOWN_TENANT, what goes before a client's name in the flow)."""
        known = self.tenants.get(name.decode("utf-8", "replace"))
        if known is not None:
            return known, None
        if not self.tenants:
            return 0, None
        return (self.others, name) if self.others is not None else (UNKNOWN_TENANT, None)

    def flow(self, fields, stranger, address, connection):
        """A client's name: in the part of others it is the unknown tenant's, whatever its clients are."""
        if stranger is not None:
            return short(b"t", stranger)
        named = fields.get(self.field) if self.field else None
        if named:
            return short(b"c", named)
        if self.networks is not None:
            try:
                found = self.networks.get(mapped(ipaddress.ip_network(address)))
            except ValueError:
                found = None
            if found is not None:
                name, each = found
                what = {"network": name, "address": address}.get(each, connection)
                return short(b"n", str(what).encode())
        return short(b"a", str(address if self.each_address else connection).encode())


def mapped(net):
    """A network as IPv6 text, IPv4 inside its mapped range: one table serves both."""
    if net.version == 6:
        return str(net)
    return f"::ffff:{net.network_address}/{96 + net.prefixlen}"


def short(kind, name):
    """A name as a key of bounded size; kinds never meet."""
    if len(name) > NAME_MOST:
        return kind + b"#" + blake2b(name, digest_size=16).digest()
    return kind + b":" + name
