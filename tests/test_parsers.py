"""The protocols' state machines without sockets: in one piece, byte by byte, cut at random; bad input."""

import json
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.admission.client_identity import Whose
from gullhold.agreement import parse_tree, read_agreement
from gullhold.interface import NEVER_RAN, EngineState, Outcome
from gullhold.net import buffer, request_reader, resp, statement, thrift
from gullhold.net.connection_ends import Ending, Malformed, of_error, outcome
from gullhold.net.engine_ids import EngineIds
from gullhold.net.event_stream import EventStream
from gullhold.net.list_change import parse_event
from gullhold.operator import records
from gullhold.testing import deployment
from gullhold.testing.running import agreed

MOST = 60_000
CUTS = st.lists(st.integers(1, 4000), max_size=12)
SEEDED = settings(derandomize=True, deadline=None, database=None, max_examples=60)


def feed(machine, read, data, cuts):
    """All that a machine finds in data that comes in pieces; the last size goes on to the end."""
    found, at = [], 0
    while at < len(data):
        size = cuts.pop(0) if cuts else 1 if len(data) < 600 else 997
        machine.buffer.put(data[at : at + size])
        found += list(read(machine))
        at += size
    return found


def text(data):
    return struct.pack(">i", len(data)) + data


def call(method=b"execute", seq=1, fields=None, body=b"select 1", kind=thrift.CALL, extra=b""):
    """A client's frame, built by hand."""
    pairs = b"".join(text(k) + text(v) for k, v in (fields or {}).items())
    args = extra + b"\x0d\x00\x01" + struct.pack(">BBi", 11, 11, len(fields or {})) + pairs
    args += b"\x0b\x00\x02" + text(body) if body is not None else b""
    message = struct.pack(">HBB", 0x8001, 0, kind) + text(method) + struct.pack(">i", seq) + args + b"\0"
    return text(message)


@SEEDED
@given(bodies=st.lists(st.binary(max_size=9000), min_size=1, max_size=5), cuts=CUTS)
def test_thrift_calls_come_out_the_same_however_they_are_cut(bodies, cuts):
    data = b"".join(
        call(seq=i, fields={b"txn": b"%d" % i, b"verb": b""}, body=body) for i, body in enumerate(bodies)
    )
    calls = feed(thrift.Decoder(MOST), thrift.Decoder.calls, data, cuts)
    assert [(c.seq, c.args[2, thrift.STRING]) for c in calls] == list(enumerate(bodies))
    assert all(c.args[1, thrift.MAP] == {b"txn": b"%d" % c.seq, b"verb": b""} for c in calls)


def test_thrift_steps_over_fields_that_it_does_not_know():
    inner = (
        b"\x08\x00\x07" + struct.pack(">i", 5) + b"\x0f\x00\x08" + struct.pack(">Bi", 11, 2) + text(b"a") * 2
    )
    extra = (
        b"\x0c\x00\x09"
        + inner
        + b"\0"
        + b"\x0a\x00\x0a"
        + bytes(8)
        + b"\x0d\x00\x0b"
        + struct.pack(">BBi", 8, 12, 1)
        + bytes(4)
        + b"\0"
        + b"\x02\x00\x0c\x01"
    )
    frame = call(fields={b"a": b"b"}, extra=extra)
    assert thrift.decode(frame[4:]).args[1, thrift.MAP] == {b"a": b"b"}


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">i", -1),
        struct.pack(">i", MOST + 1),
        struct.pack(">i", 2) + b"ab",
        text(b"\0\0\0\x07execute" + bytes(9)),
        text(call()[4:-1]),
        text(call()[4:20]),
        text(call(kind=thrift.REPLY)[4:]),
        text(call(method=b"\xff\xfe")[4:]),
        text(struct.pack(">HBB", 0x8001, 0, 1) + text(b"x") + bytes(4) + b"\x0f\x00\x01\x0b\x7f\xff\xff\xff"),
        text(
            struct.pack(">HBB", 0x8001, 0, 1)
            + text(b"x")
            + bytes(4)
            + b"\x0d\x00\x01\x0b\x0b\xff\xff\xff\xff"
        ),
        text(struct.pack(">HBB", 0x8001, 0, 1) + text(b"x") + bytes(4) + b"\x0c\x00\x01" * 40),
        text(struct.pack(">HBB", 0x8001, 0, 1) + text(b"x") + bytes(4) + b"\x63\x00\x01"),
    ],
)
def test_thrift_that_is_not_strict_binary_is_malformed(data):
    machine = thrift.Decoder(MOST)
    machine.buffer.put(data)
    with pytest.raises(Malformed):
        list(machine.calls())


@SEEDED
@given(data=st.binary(max_size=300))
def test_any_bytes_are_a_call_or_malformed(data):
    for machine, read in (
        (thrift.Decoder(MOST), thrift.Decoder.calls),
        (resp.Decoder(MOST), resp.Decoder.arrays),
    ):
        for piece in (data, text(call()[4:12] + data), b"*2\r\n$" + data):
            try:
                machine.buffer.put(piece)
                list(read(machine))
            except Malformed:
                break


def test_answers_are_whole_strict_frames():
    for message, kind in (
        (thrift.answer("execute", 7, b"a\tb\tc\n"), thrift.REPLY),
        (thrift.shed(7, {}), thrift.REPLY),
        (thrift.fault(7, "no"), thrift.REPLY),
        (thrift.exception("x", 7, thrift.UNKNOWN_METHOD, "?"), thrift.EXCEPTION),
    ):
        size, version, _, found = struct.unpack(">iHBB", message[:8])
        assert size == len(message) - 4 and version == 0x8001 and found == kind
        scan = thrift.Scan(message[8:])
        scan.string()
        assert scan.number(thrift.I32S) == 7
        result = scan.fields()
        assert scan.at == len(scan.data)
        if message == thrift.answer("execute", 7, b"a\tb\tc\n"):
            assert result[0, thrift.STRUCT][1, thrift.STRING] == b"a\tb\tc\n"
            assert result[0, thrift.STRUCT][3, thrift.BOOL] is True


@SEEDED
@given(
    arrays=st.lists(st.lists(st.binary(max_size=7000), min_size=1, max_size=5), min_size=1, max_size=4),
    cuts=CUTS,
)
def test_resp_arrays_come_out_the_same_however_they_are_cut(arrays, cuts):
    data = b"".join(resp.encode(*words) for words in arrays)
    assert feed(resp.Decoder(MOST), resp.Decoder.arrays, data, cuts) == arrays


@pytest.mark.parametrize(
    "data",
    [
        b"+OK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*99\r\n",
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*1\r\n$99999999\r\n",
        b"*" + b"1" * 40,
        b"*1\r\n$" + b"1" * 40,
        b"x",
        b"\r\n",
        b"*x\r\n",
    ],
)
def test_resp_that_is_not_an_array_of_bulk_strings_is_malformed(data):
    machine = resp.Decoder(MOST)
    machine.buffer.put(data)
    with pytest.raises(Malformed):
        list(machine.arrays())


def test_resp_field_lists():
    assert resp.fields(b"-") == {} and resp.fields(b"a=1,load=inflight:7;util:0.6") == {
        b"a": b"1",
        b"load": b"inflight:7;util:0.6",
    }
    assert resp.field_list([]) == b"-" and resp.field_list([(b"c", b"x"), (b"w", b"5")]) == b"c=x,w=5"


def test_a_buffer_grows_compacts_gives_room_back_and_has_an_end():
    one = buffer.Buffer(20_000)
    one.put(b"x" * 9000)
    one.drop(8000)
    size = len(one.data)
    one.put(b"y" * (size - 1500))  # fits once what was used has made room
    assert len(one.data) == size and one.peek(1001) == b"x" * 1000 + b"y"
    with pytest.raises(Malformed):
        one.put(b"z" * 20_000)
    one.drop(len(one))
    assert len(one.data) == buffer.FIRST and len(one) == 0


EVENT = b'{"index":%d,"endpoints":{"revision":7,"complete":false,"members":[%s]}}\n'
MEMBER = (
    b'{"id":"s-00c41f7a","host_port":"127.1.0.9:5050","locality":"east","flavor":"std","cell":2,'
    b'"phase":"ready","size":4,"up_since_ms":9}'
)


def test_the_list_is_followed_in_order_repeats_are_passed_over():
    machine = EventStream(4, MOST)
    data = b"4\n" + EVENT % (4, b"") + EVENT % (5, MEMBER) + b"5\n\n" + EVENT % (6, b"") + b"6\n"
    assert [event["index"] for event in feed(machine, EventStream.events, data, [])] == [5, 6]
    agreement = read_agreement({"dcs": ["west", "east"], "kinds": ["std"]})
    entries, addresses, whole = parse_event(json.loads(EVENT % (5, MEMBER)), agreement, EngineIds())
    ident = entries[0][0]
    assert entries == [(ident, 1, 4.0, 0, EngineState.READY, 2, 9000)] and addresses == {
        ident: "127.1.0.9:5050"
    }
    assert not whole and ident == EngineIds().id_for("s-00c41f7a")


@pytest.mark.parametrize(
    "line", [b"{\n", b"[]\n", b'{"a":1}\n', b"6\n", EVENT % (6, b""), b'{"index":"x"}\n', b"\xff\n"]
)
def test_a_bad_line_or_a_gap_asks_for_the_stream_anew(line):
    machine = EventStream(4, MOST)
    machine.buffer.put(line)
    with pytest.raises(Malformed):
        list(machine.events())


@pytest.mark.parametrize(
    "member", [b'{"id":"x"}', b'{"id":"x","phase":"odd"}', b"7", MEMBER.replace(b'"size":4', b'"size":"q"')]
)
def test_a_member_of_another_form_is_malformed(member):
    with pytest.raises(Malformed):
        parse_event(json.loads(EVENT % (5, member)), read_agreement({}), EngineIds())


@pytest.mark.parametrize(
    ("sql", "group"),
    [
        ("select * from sales_17.orders", 17),
        ("SELECT x, 'it''s from lake_0.decoy' AS note\nFROM ops_5.orders a WHERE a.tag = 'x'", 5),
        ("SELECT id, note -- was: from mart_1.old\nFROM mart_10.visits LIMIT 5", 10),
        ("select /* from lake_3.x */ 1 from lake_4.y", 4),
        ("WITH w AS (SELECT * FROM lake_6.lines WHERE tag = 'q') SELECT id, sum(n) FROM w GROUP BY id", 6),
        (
            "merge into lake_8.orders d using staging.delta s on d.id = s.id when matched then delete",
            8,
        ),
        ('insert into "ops_9"."orders" select * from staging.delta', 9),
        ("insert into staging.tmp_1 select o_2.x from sales_3.orders o_2", 3),
        ("select o_2.x, o_2.y from only sales_3.orders o_2", 3),
        ("copy sales_12 . orders from stdin", 12),
        ("select a from x, sales_7.y", 7),
        ("update db.lake_2.t set a = 1", 2),
        ("delete from STAGING.x_1", 0),
        ("select 1", 0),
        ("", 0),
        ("select 'unended from sales_1.x", 0),
        ("select * from sales.orders_17", 0),
        ("select t_1.a from x t_1, sales_7.y where t_1.a in (select b from lake_2.z)", 7),
        ("insert into ops_4.x (a, b) values ('sales_1.y', 2)", 4),
        ("select c_9.x from (select * from mart_6.lines) c_9", 6),
        ("select max(lake_5.t.x) as m", 0),
    ],
)
def test_the_group_is_that_of_the_schema_read_or_written(sql, group):
    assert statement.table_group(sql).group == group


AGREEMENT = read_agreement(
    {
        "categories": [{"name": "lookup"}, {"name": "load", "serial_by_key": True, "idempotency": "token"}],
        "tenants": [{"name": "acme", "fraction": 1.0}],
    }
)
ASKED = {
    b"verb": b"lookup",
    b"txn": b"9b1f03aa5c7e2d41",
    b"limit": b"1500",
    b"team": b"acme",
    b"cpu": b"820.5",
    b"memory": b"96",
}


def test_a_request_is_read_in_the_modules_units():
    reader = request_reader.RequestReader(AGREEMENT)
    got = reader.request({**ASKED, b"second": b"1"}, b"select * from sales_17.t")
    assert (got.limit_us, got.work_us, got.need_mb, got.group, got.repeat) == (
        1_500_000,
        820_500,
        96.0,
        17,
        True,
    )
    assert got.key == 0 and got.unique == b"" and got.profile == got.tenant == 0
    one, other = (
        reader.request({**ASKED, b"verb": b"load", b"unique": b"5c"}, b"insert into a_1.%s" % t)
        for t in (b"x", b"y")
    )
    assert one.key and other.key and one.key != other.key
    bare = reader.request({k: v for k, v in ASKED.items() if k not in (b"cpu", b"memory")}, b"")
    assert bare.work_us == bare.need_mb == bare.group == 0


@pytest.mark.parametrize(
    "change",
    [
        {b"verb": b"load"},
        {b"unique": b"a,b"},
        {b"unique": b"a=b"},
        {b"verb": b"odd"},
        {b"team": b"odd"},
        {b"txn": b"9b1f"},
        {b"txn": b"zb1f03aa5c7e2d41"},
        {b"limit": b"x"},
        {b"limit": b"nan"},
        {b"limit": b"inf"},
        {b"cpu": b"-1"},
        {b"memory": b"1e999"},
        {b"limit": None},
    ],
)
def test_a_request_that_cannot_be_used_is_refused(change):
    fields = {k: v for k, v in {**ASKED, **change}.items() if v is not None}
    with pytest.raises(request_reader.RequestError):
        request_reader.RequestReader(AGREEMENT).request(fields, b"select 1")


def test_text_and_json_settings_read_the_same():
    tree = {
        "balancers": 3,
        "my_zone": 1,
        "dcs": ["north", "south"],
        "kinds": ["a", "b"],
        "categories": [
            {
                "name": "x",
                "aim": 0.5,
                "idempotency": "token",
                "dedup_scope": "all",
                "window": 15.0,
                "dcs_only": ["south"],
                "kinds_only": [1],
                "serial_by_key": True,
                "give_up": 4.0,
            }
        ],
        "tenants": [{"name": "t", "fraction": 0.7, "allowance_per_s": 9.0}],
        "domain": {
            "parallelism": [2],
            "writes_tables": [True],
            "class_waits": [False],
            "note_period": 0.5,
            "cores_by_kind": [12, 4],
            "ram_of_kind_mb": [99.0, 2.0],
        },
        "limits": {"cancel": True, "streams_per_conn": 32, "connect_timeout": 0.25, "max_open": 20},
        "rules": {"ratio_span": 5.0, "min_extra": 3.0},
        "telemetry": {"fields": ["inflight", "x0"]},
    }

    def lines(node, path=""):
        if isinstance(node, dict):
            return [
                row for key, value in node.items() for row in lines(value, f"{path}.{key}" if path else key)
            ]
        if isinstance(node, list) and node and isinstance(node[0], dict):
            return [f"{path}.count={len(node)}"] + [
                row for i, item in enumerate(node) for row in lines(item, f"{path}.{i}")
            ]
        if isinstance(node, list):
            node = ",".join(str(word) for word in node)
        return [f"{path}={str(node).lower() if isinstance(node, bool) else node}"]

    said = read_agreement(tree)
    assert said == read_agreement(parse_tree("\n".join(lines(tree)).replace("True", "true")))
    first = said.profiles[0]
    assert (
        first.zones == {1}
        and first.engine_kinds == {1}
        and first.ordered
        and first.loads_dataset
        and first.threads == 2
    )
    assert (
        said.connect_timeout_us == 250_000
        and said.report_fields == ("inflight", "x0")
        and said.retry_budget_base == 3.0
    )
    assert read_agreement({}).profiles == () and read_agreement({}).retry_budget_base is None


def test_how_a_connection_ended_says_whether_a_send_may_have_run():
    assert outcome(True) == Outcome.RESET and outcome(False) == Outcome.CONNECT_FAILED
    assert outcome(False) in NEVER_RAN and outcome(True) not in NEVER_RAN
    assert of_error(ConnectionRefusedError(), True) == Ending.REFUSED
    assert (
        of_error(TimeoutError(), True) == Ending.NOT_UP and of_error(ConnectionResetError()) == Ending.RESET
    )


def test_a_reader_turns_away_unasked_only_what_the_door_has_shut():
    whose = Whose(records.read('door: client: field: "desk"', "x").door.client, ["acme"])
    agreement = read_agreement(agreed(deployment.settings(), (("acme", 1.0),)))
    reader, peer = request_reader.RequestReader(agreement, whose, b"back"), ("127.0.0.1", "127.0.0.1:5")
    fields = {b"verb": b"read", b"txn": b"%016x" % 1, b"team": b"acme", b"desk": b"d"}
    shut = {(0, b"c:d", 0): (1000, 5_000_000)}
    assert reader.shut(fields, peer, shut, 999) == ({},)
    assert reader.shut(fields, peer, shut, 1000) is None  # its time is over
    assert reader.shut(fields | {b"desk": b"other"}, peer, shut, 5) is None
    assert reader.shut(fields | {b"verb": b"mark"}, peer, shut, 5) is None
    assert reader.shut(fields | {b"txn": b"no"}, peer, shut, 5) is None  # unusable: that is the answer
    # A repeat is told the time of the first promise; once that has come, the door decides.
    assert reader.shut(fields | {b"second": b"1"}, peer, shut, 0) == ({b"back": b"5000"},)
    assert reader.shut(fields | {b"second": b"1"}, peer, {(0, b"c:d", 0): (1000, 5)}, 6) is None
