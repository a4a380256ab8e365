"""`gullhold fleet members|duties|history`: what a fleet's register says, as a table or as JSON."""

import json
import sys
from datetime import UTC, datetime

from rich.console import Console
from rich.table import Table

from gullhold.fleet import membership, schedule
from gullhold.fleet.driver import KEYS
from gullhold.fleet.lease import MILLION
from gullhold.fleet.register import Register
from gullhold.fleet.store_calls import Proof, ReadPrefix

TIMEOUT_S = 3.0


def _when(unix_us):
    moment = datetime.fromtimestamp(unix_us / MILLION, UTC)
    return moment.isoformat(timespec="milliseconds") if unix_us else ""


def rows(what, read):
    """What is shown, a dict a row; read: items of the register by prefix."""
    if what == "members":
        counts = {}
        for item in read(membership.DUTIES):
            name = membership.written(item.value).get("owner")
            counts[name] = counts.get(name, 0) + 1
        return [
            {
                "member": item.key.removeprefix(membership.MEMBERS),
                "ready": bool(membership.written(item.value).get("ready")),
                "incarnation": membership.since(membership.written(item.value), item.revision),
                "duties": counts.get(item.key.removeprefix(membership.MEMBERS), 0),
            }
            for item in read(membership.MEMBERS)
        ]
    if what == "duties":
        return [
            {
                "duty": item.key.removeprefix(membership.DUTIES),
                "owner": membership.written(item.value).get("owner"),
                "token": item.revision,
            }
            for item in read(membership.DUTIES)
        ]
    found = []
    for item in read(schedule.PLAN):
        record = schedule.record_of(item.value) if "/run/" in item.key else None
        if record:
            found.append(
                {
                    "command": item.key.split("/")[1],
                    "due": _when(record.due_us),
                    "state": record.state,
                    "tries": record.tries,
                    "by": record.by,
                    "token": record.token,
                    "why": record.why,
                    "count": record.count,
                }
            )
    return sorted(found, key=lambda row: (row["due"], row["command"]))


def run(what, address, name, as_json):
    """Print it; the exit status, 1 where the register does not answer."""
    session = Register(address, f"{KEYS}{name}/", TIMEOUT_S)

    def read(prefix):
        reply = session.call(ReadPrefix(prefix))
        if reply.proof != Proof.DONE:
            raise ConnectionError
        return reply.items

    try:
        found = rows(what, read)
    except ConnectionError:
        print(f"gullhold: the register at {address} does not answer", file=sys.stderr)
        return 1
    if as_json:
        for row in found:
            print(json.dumps(row))
        return 0
    table = Table(title=f"{what} of {name}")
    for column in found[0] if found else ("nothing",):
        table.add_column(column)
    for row in found:
        table.add_row(*map(str, row.values()))
    Console().print(table)
    return 0
