"""The request reader: conversion to the decision module's units, invalid fields, and known rejections."""

import pytest

from gullhold.admission.client_identity import ClientIdentifier
from gullhold.admission_interface import KnownRejection, RejectedFlow
from gullhold.agreement import read_agreement
from gullhold.net import request_reader
from gullhold.operator import records
from gullhold.testing import deployment
from gullhold.testing.running import adjust_settings

AGREEMENT = read_agreement(
    {
        "categories": [{"name": "lookup"}, {"name": "load", "serial_by_key": True, "idempotency": "token"}],
        "tenants": [{"name": "acme", "fraction": 1.0}],
    }
)

VALID_FIELDS = {
    b"verb": b"lookup",
    b"txn": b"9b1f03aa5c7e2d41",
    b"limit": b"1500",
    b"team": b"acme",
    b"cpu": b"820.5",
    b"memory": b"96",
}


def test_a_request_is_converted_to_the_decision_modules_units():
    reader = request_reader.RequestReader(AGREEMENT)
    request = reader.read_request({**VALID_FIELDS, b"second": b"1"}, b"select * from sales_17.t")
    assert (
        request.timeout_us,
        request.work_us,
        request.memory_mb,
        request.table_group,
        request.is_retry,
    ) == (
        1_500_000,
        820_500,
        96.0,
        17,
        True,
    )
    assert request.ordering_key == 0
    assert request.idempotency_key == b""
    assert request.profile == request.tenant == 0
    one, other = (
        reader.read_request({**VALID_FIELDS, b"verb": b"load", b"unique": b"5c"}, b"insert into a_1.%s" % t)
        for t in (b"x", b"y")
    )
    assert one.ordering_key
    assert other.ordering_key
    assert one.ordering_key != other.ordering_key
    minimal = reader.read_request(
        {k: v for k, v in VALID_FIELDS.items() if k not in (b"cpu", b"memory")}, b""
    )
    assert minimal.work_us == minimal.memory_mb == minimal.table_group == 0


@pytest.mark.parametrize(
    "changed_fields",
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
def test_an_invalid_field_raises_request_error(changed_fields):
    fields = {k: v for k, v in {**VALID_FIELDS, **changed_fields}.items() if v is not None}
    with pytest.raises(request_reader.RequestError):
        request_reader.RequestReader(AGREEMENT).read_request(fields, b"select 1")


def test_a_known_rejection_applies_only_to_its_flow_and_profile_and_until_its_time():
    identifier = ClientIdentifier(records.read('door: client: field: "desk"', "x").door.client, ["acme"])
    agreement = read_agreement(adjust_settings(deployment.settings(), (("acme", 1.0),)))
    reader, peer = request_reader.RequestReader(agreement, identifier, b"back"), ("127.0.0.1", "127.0.0.1:5")
    fields = {b"verb": b"read", b"txn": b"%016x" % 1, b"team": b"acme", b"desk": b"d"}
    known = {RejectedFlow(0, b"c:d", 0): KnownRejection(1000, 5_000_000)}
    assert reader.known_rejection(fields, peer, known, 999) == ({},)
    assert reader.known_rejection(fields, peer, known, 1000) is None  # no longer known to be rejected
    assert reader.known_rejection(fields | {b"desk": b"other"}, peer, known, 5) is None
    assert reader.known_rejection(fields | {b"verb": b"mark"}, peer, known, 5) is None
    # An invalid request is not shed here: it goes on to validation, which answers with a Fault.
    assert reader.known_rejection(fields | {b"txn": b"no"}, peer, known, 5) is None
    # A retry gets the remainder of the first Retry-After time; after that the admission queue decides.
    assert reader.known_rejection(fields | {b"second": b"1"}, peer, known, 0) == ({b"back": b"5000"},)
    assert (
        reader.known_rejection(
            fields | {b"second": b"1"}, peer, {RejectedFlow(0, b"c:d", 0): KnownRejection(1000, 5)}, 6
        )
        is None
    )
