"""`gullhold policy ...`: propose a change, see what becomes of it. What is not known is called unknown."""

import getpass
import json
import sys
import time

from rich.console import Console
from rich.table import Table

from gullhold.fleet.store_calls import Proof, Put, ReadPrefix, Transaction
from gullhold.fleet.store_client import StoreClient
from gullhold.fleet.store_schema import fleet_prefix
from gullhold.rollout import change
from gullhold.rollout import record as records
from gullhold.rollout.record import FIRST, Record, Unfit

TIMEOUT_S, LOOK_S = 3.0, 0.1
IN_FORCE, WRONG, DROPPED, UNKNOWN = 0, 2, 3, 4  # exit statuses


class Away(Exception):
    """The register does not answer."""


class Office:
    """What staff do, on one session with the register. say(line): progress."""

    def __init__(self, address, name, say=lambda line: None):
        self.session, self.say = StoreClient(address, fleet_prefix(name), TIMEOUT_S), say

    def read(self):
        """(text by key, revision by key) of all that stands of policies."""
        reply = self.session.call(ReadPrefix(change.ROOT))
        if reply.proof != Proof.DONE:
            raise Away
        return (
            {item.key: item.value for item in reply.items},
            {item.key: item.revision for item in reply.items},
        )

    def current(self):
        """The record in force."""
        items, _ = self.read()
        return records.unpack(items[change.CURRENT]) if change.CURRENT in items else FIRST

    def past(self):
        """[(record, outcome, why)] of what was decided, oldest first."""
        items, _ = self.read()
        told = [json.loads(items[key]) for key in sorted(items) if key.startswith(change.PAST)]
        return [(Record(**one["record"]), one["outcome"], one["why"]) for one in told]

    def propose(self, text, author, why, parent=None, **how):
        """Propose a text; its record. Raises Unfit where it can't be proposed, Away where nobody answers."""
        records.read(text, "policy")
        items, revisions = self.read()
        current = records.unpack(items[change.CURRENT]) if change.CURRENT in items else FIRST
        numbers = [int(key.removeprefix(change.PAST)) for key in items if key.startswith(change.PAST)]
        record = Record(
            max([current.number, *numbers]) + 1,
            current.number if parent is None else parent,
            author,
            why,
            time.time_ns() // 1000,
            text,
        ).sealed()
        acts, when = change.propose(record, items, revisions, **how)
        reply = self.session.call(Transaction(when, acts))
        if reply.proof == Proof.NOT_DONE:
            raise Away
        if reply.proof == Proof.DONE and not reply.succeeded:
            raise Unfit("somebody else proposed at the same moment")
        return record  # also where the reply was lost: what stands will say

    def drop(self):
        """Ask that the open change be dropped; its number. Unfit: there is none that can be."""
        items, revisions = self.read()
        if change.CHANGE not in items:
            raise Unfit("no change is open")
        opened = change.change_of(items[change.CHANGE])
        if opened.state in (change.DECIDED, change.DROPPED):
            raise Unfit(f"change {opened.record.number} is {opened.state} already")
        reply = self.session.call(
            Transaction(
                ((change.CHANGE, revisions[change.CHANGE]),),
                (Put(change.CHANGE, opened._replace(drop=True).pack()),),
            )
        )
        if reply.proof != Proof.DONE or not reply.succeeded:
            raise Away
        return opened.record.number

    def status(self, number):
        """(IN_FORCE, DROPPED or UNKNOWN, a line) of a change, now."""
        items, _ = self.read()
        if change.past_key(number) in items:
            told = json.loads(items[change.past_key(number)])
            if told["outcome"] == change.DROPPED:
                return DROPPED, f"{number} is dropped: {told['why']}"
            opened = change.change_of(items[change.CHANGE]) if change.CHANGE in items else None
            if opened is None or opened.record.number != number:
                return IN_FORCE, f"{number} is in force everywhere"
            return UNKNOWN, f"{number} is decided; {self._words(items, number)}"
        if change.CHANGE in items and change.change_of(items[change.CHANGE]).record.number == number:
            return UNKNOWN, f"{number} is {change.change_of(items[change.CHANGE]).state}; " + self._words(
                items, number
            )
        return UNKNOWN, f"nothing is known of {number}"

    @staticmethod
    def _words(items, number):
        found = {}
        for key in items:
            if key.startswith(change.WORDS):
                word = change.word_of(items[key])
                name = key.removeprefix(change.WORDS).partition("/")[0]
                said = word.word if number in (word.about, word.under) else "says nothing"
                found.setdefault(f"{said}{': ' + word.why if word.why else ''}", []).append(name)
        return (
            "; ".join(
                f"{said}: {', '.join(sorted(names)[:8])} ({len(names)})"
                for said, names in sorted(found.items())
            )
            or "nobody is there"
        )

    def wait(self, number, seconds):
        """(status, line) when it is known, or after so long as it stands then."""
        end, last = time.monotonic() + seconds, ""
        while True:
            try:
                status, line = self.status(number)
            except Away:
                status, line = UNKNOWN, "the register does not answer"
            if line != last:
                self.say(line)
                last = line
            if status != UNKNOWN or time.monotonic() > end:
                return status, line
            time.sleep(LOOK_S)


def differences(old, new):
    """A line for each thing that differs."""
    return [
        f"{field} {name}: {'as agreed' if before is None else before} -> "
        f"{'as agreed' if after is None else after}"
        for field, name, before, after in records.difference(records.read(old), records.read(new))
    ]


def run(args):
    """One sub-command of `gullhold policy`; the exit status."""
    office = Office(args.register, args.name, print)
    try:
        return globals()["_" + args.what](office, args)
    except Unfit as fault:
        print(f"gullhold: {fault}", file=sys.stderr)
        return WRONG
    except OSError as fault:
        print(f"gullhold: {fault}", file=sys.stderr)
        return WRONG
    except Away:
        print(
            f"gullhold: the register at {args.register} does not answer; what stands is not known",
            file=sys.stderr,
        )
        return UNKNOWN


def _text(args):
    if not args.file:
        raise Unfit(f"policy {args.what} needs a file")
    with open(args.file, encoding="utf-8") as source:
        return source.read()


def _check(_office, args):
    policy = records.read(_text(args), args.file)
    print(f"{sum(map(len, policy))} settings; names are checked by each gateway")
    return IN_FORCE


def _diff(office, args):
    for line in differences(office.current().text, _text(args)):
        print(line)
    return IN_FORCE


def _propose(office, args, text=None, why=None):
    how = {"overlap": args.overlap, "silence": args.silence, "patience_us": int(args.patience * 1e6)}
    if args.canary:
        how["canary"] = change.Canary(
            args.canary, int(args.canary_seconds * 1e6), args.most_failed, args.most_slower
        )
    record = office.propose(text or _text(args), args.author or getpass.getuser(), why or args.why, **how)
    print(f"{record.number} is proposed on {record.parent}; digest {record.digest}")
    return office.wait(record.number, args.wait)[0] if args.wait else UNKNOWN


def _undo(office, args):
    """The parent's text, proposed like any other."""
    current = office.current()
    if not current.number:
        raise Unfit("nothing was changed yet")
    known = {record.number: record.text for record, _, _ in office.past()} | {0: FIRST.text}
    if current.parent not in known:
        raise Unfit(f"{current.parent} is not kept any more")
    return _propose(office, args, known[current.parent], args.why or f"undo {current.number}")


def _drop(office, args):
    number = office.drop()
    return office.wait(number, args.wait)[0] if args.wait else UNKNOWN


def _status(office, args):
    items, _ = office.read()
    current = office.current()
    print(f"{current.number} is in force: {current.why}")
    if args.number:
        status, line = office.status(args.number)
        print(line)
        return status
    if change.CHANGE in items:
        print(office.status(change.change_of(items[change.CHANGE]).record.number)[1])
        return UNKNOWN
    return IN_FORCE


def _history(office, args):
    rows = [
        {
            "number": record.number,
            "parent": record.parent,
            "outcome": outcome,
            "author": record.author,
            "why": record.why,
            "because": why,
            "digest": record.digest,
        }
        for record, outcome, why in office.past()
    ]
    if args.json:
        for row in rows:
            print(json.dumps(row))
        return IN_FORCE
    table = Table(title=f"policies of {args.name}")
    for column in ("number", "parent", "outcome", "author", "why", "because", "digest"):
        table.add_column(column)
    for row in rows:
        table.add_row(*map(str, row.values()))
    Console().print(table)
    return IN_FORCE
