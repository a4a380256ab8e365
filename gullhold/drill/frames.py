"""Frames of the bench's wire: batches in, replies out, and the settings text. Decides nothing."""

import struct

from gullhold import interface as api

HEADER = struct.Struct(">IdI")
REPLY = struct.Struct(">III")
RECORD = struct.Struct(">BI")
ENTRY = struct.Struct(">HfBBHdI")
U16 = struct.Struct(">H")
U32 = struct.Struct(">I")
PAGE = struct.Struct(">II")
NEW_INSTANCE = struct.Struct(">IQI")
ANNOUNCE = struct.Struct(">IIIB")
ARRIVAL = struct.Struct(">IIHIQddffB")
ESTABLISHED = struct.Struct(">IIHId")
ANSWER = struct.Struct(">IIHdIIBBB")
CLIENT_GONE = struct.Struct(">II")
TIMEOUT_FIRED = struct.Struct(">IQ")
UPDATE_OF = struct.Struct(">IIHIBf")

PUT_BUSY = struct.Struct(">BIIId")
PUT_PROVIDE = struct.Struct(">BIIIfB")
PUT_TIMER = struct.Struct(">BIIdQ")
PUT_DROP = struct.Struct(">BIII")
PUT_TRY = struct.Struct(">BIIIdI")
PUT_TEXT = struct.Struct(">BIIH")
PUT_RETRACT = struct.Struct(">BIIIH")
DEBUG, BUG = 10, 4

STATES = {0: api.GONE, 2: api.READY, 3: api.DRAINING}
ENDINGS = {0: api.ANSWERED, 13: api.ERROR, 8: api.FULL, 4: api.TIMED_OUT, 14: api.NO_CONNECTION,
           10: api.RESET, 1: api.CANCELLED, 9: api.MOOT}
NOTES = {1: api.PROGRESS, 2: api.SPILLS, 3: api.WAITS}
EFFECTS = {"pure": api.REPLAYABLE, "token": api.UNIQUED, "side_effect": api.NON_REPLAYABLE}
SCOPES = {"all": api.ALL, "zone": api.LOCATION, "cell": api.CELL}


def micros(seconds):
    """Whole microseconds."""
    return round(seconds * 1e6)


def records(body):
    """The (code, fields) pairs of a batch."""
    at, end = HEADER.size - 4, len(body)
    while at < end:
        code, size = RECORD.unpack_from(body, at)
        at += RECORD.size
        if at + size > end:
            raise ValueError(f"record of code {code} runs past its frame")
        yield code, body[at:at + size]
        at += size


def entries(fields):
    """A list of engines as (id, location, weight, kind, state, cell, started_us) tuples."""
    number, size = PAGE.unpack_from(fields)
    found, at = [], PAGE.size
    if len(fields) < at + size * ENTRY.size:
        raise ValueError("list shorter than its count")
    for _ in range(size):
        zone, weight, kind, state, cell, born, engine = ENTRY.unpack_from(fields, at)
        found.append((engine, zone, weight, kind, STATES.get(state, api.GONE), cell, micros(born)))
        at += ENTRY.size
    return number, found


def agreement(text):
    """The settings text in our words; keys that nobody reads are left out."""
    facts = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def number(key, absent=0.0):
        try:
            return float(facts[key])
        except (KeyError, ValueError):
            return absent

    def yes(key, absent=False):
        return facts.get(key, "true" if absent else "false") == "true"

    def several(key):
        return [word for word in facts.get(key, "").split(",") if word]

    def allowed(key):
        words = several(key)
        return frozenset(int(word) for word in words) if words else None

    def at(words, place, absent):
        return words[place] if place < len(words) else absent

    threads, loads = several("domain.parallelism"), several("domain.writes_tables")
    waits = several("domain.class_waits")
    profiles = []
    for i in range(int(number("categories.count"))):
        key = f"categories.{i}."
        profiles.append(api.Profile(
            threads=max(1, int(float(at(threads, i, 1)))),
            target_us=micros(number(key + "aim")), target_stretch=number(key + "aim_stretch"),
            timeout_us=micros(number(key + "give_up")),
            benefit=number(key + "value"), late_benefit=number(key + "late_worth"),
            effect=EFFECTS.get(facts.get(key + "idempotency"), api.NON_REPLAYABLE),
            dedup_scope=SCOPES.get(facts.get(key + "dedup_scope"), api.CELL),
            dedup_us=micros(number(key + "window")), ordered=yes(key + "serial_by_key"),
            locations=allowed(key + "dcs_only"), kinds=allowed(key + "kinds_only"),
            loads=at(loads, i, "") == "true", stands_still=at(waits, i, "") == "true"))
    tenants = tuple(api.Tenant(number(f"tenants.{i}.fraction"), number(f"tenants.{i}.allowance_per_s"))
                    for i in range(int(number("tenants.count"))))
    budget = "rules.ratio_span" in facts
    return api.Agreement(
        profiles=tuple(profiles), tenants=tenants, managers=max(1, int(number("balancers"))),
        location=int(number("my_zone")),
        kind_cores=tuple(float(word) for word in several("domain.cores_by_kind")),
        kind_memory_mb=tuple(float(word) for word in several("domain.ram_of_kind_mb")),
        most_grant=number("domain.max_grant_share"),
        heeds_grants=yes("domain.grants_count"), heeds_priority=yes("domain.takes_priority"),
        sends_cap=int(number("limits.attempts_cap")), may_cancel=yes("limits.cancel"),
        come_back_us=micros(number("limits.max_retry_after")) if yes("limits.retry_after") else 0,
        cold_from=number("rules.cold_from"), cold_us=micros(number("rules.warm_after")),
        fall_multiple=number("rules.fall_multiple"), fall_us=micros(number("rules.tip_after")),
        key_rest_us=micros(number("rules.order_settle")),
        extra_free=number("rules.min_extra") if budget else None,
        extra_share=number("rules.extra_share"), extra_us=micros(number("rules.ratio_span")),
        crossing_costs=number("charges.cross_zone") > 0)


def line(code, instance, text):
    """A text record: a log line or a fault."""
    raw = text.encode("utf-8", "replace")[:60000]
    return PUT_TEXT.pack(code, 6 + len(raw), instance, len(raw)) + raw


ENCODERS = {
    api.SEND: lambda who, cmd, engine, until: PUT_TRY.pack(8, 20, who, cmd, until / 1e6, engine),
    api.TERMS: lambda who, cmd, grant, lane: PUT_PROVIDE.pack(3, 13, who, cmd, grant, lane),
    api.CANCEL: lambda who, cmd, send: PUT_RETRACT.pack(12, 10, who, cmd, send),
    api.SHED: lambda who, cmd, wait: PUT_BUSY.pack(1, 16, who, cmd, wait / 1e6),
    api.FAIL: lambda who, cmd: PUT_DROP.pack(7, 8, who, cmd),
    api.TIMER: lambda who, delay, token: PUT_TIMER.pack(6, 20, who, delay / 1e6, token),
    api.LOG: lambda who, text: line(DEBUG, who, text),
}
