"""Log lines of a fleet's member: facts are key=value pairs of the text, and fields for scripts."""

import json

from loguru import logger

from gullhold.fleet.event_log import AvailabilityLog, EventLog
from gullhold.fleet.store_calls import Proof, Reply


def logged(call, *arguments):
    """Make a call; return (text, fields) of each line that it logs."""
    lines = []
    sink = logger.add(lambda line: lines.append((line.record["message"], line.record["extra"])))
    try:
        call(*arguments)
    finally:
        logger.remove(sink)
    return lines


def test_facts_are_key_value_pairs_and_fields_of_the_record():
    log = EventLog("main", "n0")
    facts = {"role": "beat/1", "token": 7, "reason": "lease not confirmed in time", "idempotency_key": ""}
    ((text, fields),) = logged(lambda: log.log("info", "role lost", **facts))
    assert text == 'fleet: role lost role=beat/1 token=7 reason="lease not confirmed in time"'
    assert fields == {"fleet": "main", "member": "n0", "event": "role lost", **facts}


def test_the_events_file_has_the_fields_of_each_line(tmp_path):
    log = EventLog("main", "n0")
    before = set(logger._core.handlers)
    log.add_file(str(tmp_path / "events"))
    (sink,) = set(logger._core.handlers) - before
    try:
        log.log("info", "role acquired", role="beat/1", token=7)
    finally:
        logger.remove(sink)
    record = json.loads((tmp_path / "events").read_text())["record"]
    assert record["extra"] == {
        "fleet": "main",
        "member": "n0",
        "event": "role acquired",
        "role": "beat/1",
        "token": 7,
    }


def test_an_outage_of_the_store_is_logged_when_it_begins_and_when_it_ends():
    availability = AvailabilityLog(EventLog("main", "n0"))

    def record_replies():
        for at_us, proof in (
            (0, Proof.DONE),
            (1, Proof.UNKNOWN),
            (2, Proof.UNKNOWN),
            (2_500_001, Proof.DONE),
        ):
            availability.record(Reply(proof), at_us)

    texts = [text for text, _ in logged(record_replies)]
    assert texts == [
        'fleet: register unreachable, serving standalone proof="may have been done"',
        "fleet: register reachable again outage_s=2.5",
    ]
