"""Names of clients and indexes of tenants by the operator's rules."""

from admission_simulation import queue_record

from gullhold.admission.client_identity import ClientIdentifier
from gullhold.admission_interface import UNKNOWN_TENANT


def test_client_and_tenant_follow_the_operators_rules():
    client_rule = queue_record("""door: client: {field: "desk", networks: [
        {net: "10.0.0.0/8", name: "offices"}, {net: "10.1.0.0/16", name: "nat", each: "connection"},
        {net: "10.1.2.0/24", name: "desks", each: "address"}, {net: "2001:db8::/32", name: "six"}]}""").client
    identifier = ClientIdentifier(client_rule, ["a", "b"])
    client_name = lambda fields, address: identifier.client_name(fields, None, address, address + ":1")  # noqa: E731
    assert client_name({b"desk": b"7"}, "10.9.9.9") == client_name({b"desk": b"7"}, "10.1.1.1") == b"c:7"
    assert client_name({}, "10.9.9.9") == client_name({}, "10.8.1.1") == b"n:offices"
    assert client_name({}, "10.1.9.9") == b"n:10.1.9.9:1"
    assert client_name({}, "10.1.2.3") == b"n:10.1.2.3"
    assert client_name({}, "2001:db8::5") == b"n:six"
    assert client_name({}, "192.0.2.1") == b"a:192.0.2.1:1"
    assert len(client_name({b"desk": b"x" * 5000}, "10.9.9.9")) < 20
    assert identifier.tenant(b"b") == (1, None)
    assert identifier.tenant(b"zz") == (UNKNOWN_TENANT, None)
    accepting = ClientIdentifier(client_rule, ["a", "b"], fallback_tenant=1)
    assert accepting.tenant(b"zz") == (1, b"zz")
    assert accepting.client_name({}, b"zz", "10.9.9.9", "x") == b"t:zz"
