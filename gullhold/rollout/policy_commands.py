"""The commands `gullhold policy ...`, which propose changes of the policy and show their state."""

import getpass
import json
import sys
from argparse import Namespace
from collections.abc import Callable

from rich.console import Console
from rich.table import Table

from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.rollout.policy import differences, parse_policy
from gullhold.rollout.policy_change import Canary, OnSilence, Overlap
from gullhold.rollout.policy_client import ExitStatus, PolicyClient, StoreUnavailableError
from gullhold.rollout.policy_version import INITIAL_VERSION, PolicyError
from gullhold.rollout.store_schema import CHANGE_KEY, HistoryEntry, decode_change

HISTORY_COLUMNS = ("number", "parent", "outcome", "author", "why", "because", "digest")


def run(arguments: Namespace) -> ExitStatus:
    """Run the sub-command of `gullhold policy` that the arguments name; return the exit status."""
    client = PolicyClient(arguments.register, arguments.name, print)
    try:
        return COMMANDS[arguments.what](client, arguments)
    except (PolicyError, OSError) as error:
        print(f"gullhold: {error}", file=sys.stderr)
        return ExitStatus.INVALID
    except StoreUnavailableError:
        print(
            f"gullhold: the register at {arguments.register} does not answer; the policy's state is unknown",
            file=sys.stderr,
        )
        return ExitStatus.UNKNOWN


def difference_lines(old: str, new: str) -> list[str]:
    """Return one line for each setting that differs between the texts of two policies."""
    lines = []
    for difference in differences(parse_policy(old), parse_policy(new)):
        before = _format_setting(difference.before)
        after = _format_setting(difference.after)
        lines.append(f"{difference.field} {difference.name}: {before} -> {after}")
    return lines


def _format_setting(value: float | None) -> str:
    return "as agreed" if value is None else str(value)


def _read_file(arguments: Namespace) -> str:
    if not arguments.file:
        raise PolicyError(f"policy {arguments.what} needs a file with the policy's text")
    with open(arguments.file, encoding="utf-8") as file:
        return file.read()


def _check(_client: PolicyClient, arguments: Namespace) -> ExitStatus:
    policy = parse_policy(_read_file(arguments), arguments.file)
    count = sum(len(settings) for settings in policy)
    print(f"{count} settings; names are checked by each gateway")
    return ExitStatus.IN_FORCE


def _diff(client: PolicyClient, arguments: Namespace) -> ExitStatus:
    for line in difference_lines(client.current().text, _read_file(arguments)):
        print(line)
    return ExitStatus.IN_FORCE


def _propose(client: PolicyClient, arguments: Namespace) -> ExitStatus:
    return _propose_text(client, arguments, _read_file(arguments), arguments.why)


def _propose_text(client: PolicyClient, arguments: Namespace, text: str, reason: str) -> ExitStatus:
    canary = None
    if arguments.canary:
        canary = Canary(
            arguments.canary,
            int(arguments.canary_seconds * US_PER_SECOND),
            arguments.most_failed,
            arguments.most_slower,
        )
    version = client.propose(
        text,
        arguments.author or getpass.getuser(),
        reason,
        overlap=Overlap(arguments.overlap),
        on_silence=OnSilence(arguments.silence),
        patience_us=int(arguments.patience * US_PER_SECOND),
        canary=canary,
    )
    print(f"{version.number} is proposed on {version.parent}; digest {version.digest}")
    return _wait(client, arguments, version.number)


def _wait(client: PolicyClient, arguments: Namespace, number: int) -> ExitStatus:
    if not arguments.wait:
        return ExitStatus.UNKNOWN
    return client.wait(number, arguments.wait).status


def _undo(client: PolicyClient, arguments: Namespace) -> ExitStatus:
    """Propose the text of the parent of the version in force as a new version."""
    current = client.current()
    if not current.number:
        raise PolicyError("no policy has been put in force yet: there is nothing to undo")
    texts = {entry.version.number: entry.version.text for entry in client.history()}
    texts[INITIAL_VERSION.number] = INITIAL_VERSION.text
    if current.parent not in texts:
        raise PolicyError(
            f"version {current.parent} is no longer in the history; propose its text from a file"
        )
    reason = arguments.why or f"undo {current.number}"
    return _propose_text(client, arguments, texts[current.parent], reason)


def _drop(client: PolicyClient, arguments: Namespace) -> ExitStatus:
    return _wait(client, arguments, client.drop())


def _status(client: PolicyClient, arguments: Namespace) -> ExitStatus:
    keys = client.read()
    current = client.current()
    print(f"{current.number} is in force: {current.reason}")
    if arguments.number:
        progress = client.status(arguments.number)
        print(progress.line)
        return progress.status
    if CHANGE_KEY in keys:
        change = decode_change(keys[CHANGE_KEY].value)
        print(client.status(change.version.number).line)
        return ExitStatus.UNKNOWN
    return ExitStatus.IN_FORCE


def _history(client: PolicyClient, arguments: Namespace) -> ExitStatus:
    rows = [_history_row(entry) for entry in client.history()]
    if arguments.json:
        for row in rows:
            print(json.dumps(row))
        return ExitStatus.IN_FORCE
    table = Table(title=f"policies of {arguments.name}")
    for column in HISTORY_COLUMNS:
        table.add_column(column)
    for row in rows:
        table.add_row(*[str(row[column]) for column in HISTORY_COLUMNS])
    Console().print(table)
    return ExitStatus.IN_FORCE


def _history_row(entry: HistoryEntry) -> dict[str, int | str]:
    return {
        "number": entry.version.number,
        "parent": entry.version.parent,
        "outcome": entry.outcome.state,
        "author": entry.version.author,
        "why": entry.version.reason,
        "because": entry.outcome.reason,
        "digest": entry.version.digest,
    }


COMMANDS: dict[str, Callable[[PolicyClient, Namespace], ExitStatus]] = {
    "check": _check,
    "diff": _diff,
    "propose": _propose,
    "undo": _undo,
    "drop": _drop,
    "status": _status,
    "history": _history,
}
