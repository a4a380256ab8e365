"""`gullhold fleet members|roles|history`: prints what a fleet's store holds, as a table or as JSON.

The names of the columns are part of the command line's interface, as scripts of operators use them.
"""

import json
import sys
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from rich.console import Console
from rich.table import Table

from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.fleet.store_calls import KeyValue, Proof, ReadPrefix
from gullhold.fleet.store_client import StoreClient
from gullhold.fleet.store_schema import (
    MEMBERS_PREFIX,
    ROLES_PREFIX,
    SCHEDULED_COMMANDS_PREFIX,
    LeaderRecord,
    MemberRecord,
    decode_occurrence,
    fleet_prefix,
    is_occurrence_key,
)

TIMEOUT_S = 3.0  # limit of each call to the store; an operator is waiting for the answer

Row = Mapping[str, Any]  # values by name of the column
ReadItems = Callable[[str], Iterable[KeyValue]]  # reads the keys with a prefix; raises ConnectionError


def member_rows(read: ReadItems) -> list[Row]:
    """The members, each with the number of roles that it leads."""
    role_counts = Counter(LeaderRecord.decode(item.value).member for item in read(ROLES_PREFIX))
    rows: list[Row] = []
    for item in read(MEMBERS_PREFIX):
        name = item.key.removeprefix(MEMBERS_PREFIX)
        record = MemberRecord.decode(item.value, item.revision)
        rows.append(
            {
                "member": name,
                "ready": record.is_ready,
                "incarnation": record.incarnation,
                "duties": role_counts[name],
            }
        )
    return rows


def role_rows(read: ReadItems) -> list[Row]:
    """The roles, each with its leader."""
    return [
        {
            "duty": item.key.removeprefix(ROLES_PREFIX),
            "owner": LeaderRecord.decode(item.value).member,
            "token": item.revision,
        }
        for item in read(ROLES_PREFIX)
    ]


def occurrence_rows(read: ReadItems) -> list[Row]:
    """The stored occurrences of scheduled commands, ordered by due time."""
    rows = []
    for item in read(SCHEDULED_COMMANDS_PREFIX):
        occurrence = decode_occurrence(item.value) if is_occurrence_key(item.key) else None
        if occurrence is None:
            continue
        rows.append(
            {
                "command": item.key.split("/")[1],
                "due": _iso_time(occurrence.due_us),
                "state": occurrence.state,
                "tries": occurrence.attempts,
                "by": occurrence.member,
                "token": occurrence.token,
                "why": occurrence.reason,
                "count": occurrence.count,
            }
        )
    return sorted(rows, key=lambda row: (row["due"], row["command"]))


def _iso_time(unix_us: int) -> str:
    if not unix_us:
        return ""
    return datetime.fromtimestamp(unix_us / US_PER_SECOND, UTC).isoformat(timespec="milliseconds")


TABLES = {
    "members": member_rows,
    "roles": role_rows,
    "duties": role_rows,  # earlier name of "roles"
    "history": occurrence_rows,
}


def run(subject: str, address: str, fleet_name: str, as_json: bool) -> int:
    """Print one of the TABLES. Return the exit status: 1 if the store does not answer, else 0.

    subject: key of TABLES. address: HOST:PORT of the store.
    """
    session = StoreClient(address, fleet_prefix(fleet_name), TIMEOUT_S)

    def read(prefix: str) -> Iterable[KeyValue]:
        reply = session.call(ReadPrefix(prefix))
        if reply.proof != Proof.DONE:
            raise ConnectionError
        return reply.items

    try:
        rows = TABLES[subject](read)
    except ConnectionError:
        print(f"gullhold: the register at {address} does not answer", file=sys.stderr)
        return 1
    print_rows(f"{subject} of {fleet_name}", rows, as_json)
    return 0


def print_rows(title: str, rows: Sequence[Row], as_json: bool) -> None:
    """Print rows as a table with a title, or as one JSON object a line."""
    if as_json:
        for row in rows:
            print(json.dumps(row))
        return
    table = Table(title=title)
    for column in rows[0] if rows else ("nothing",):
        table.add_column(column)
    for row in rows:
        table.add_row(*map(str, row.values()))
    Console().print(table)
