"""The snapshot: a file with the policy version last known to be in force, for a start without the store."""

import json
import os
from contextlib import suppress
from os import PathLike
from typing import NamedTuple

from gullhold.rollout.policy_version import PolicyError, PolicyVersion
from gullhold.rollout.store_schema import version_from_stored, version_to_stored


class Snapshot(NamedTuple):
    """A version, and the Unix time (us) at which it was last known to be in force."""

    version: PolicyVersion
    known_at_us: int


def write(path: str | PathLike[str], version: PolicyVersion, known_at_us: int) -> None:
    """Replace the snapshot atomically. known_at_us: as in Snapshot. Raises OSError if it can't be written."""
    temporary_path = f"{path}.new"
    with open(temporary_path, "w", encoding="utf-8") as file:
        json.dump({"at_us": known_at_us, "record": version_to_stored(version)}, file)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    with suppress(OSError):  # not all systems can sync a directory
        _sync_directory(os.path.dirname(os.path.abspath(path)))


def _sync_directory(path: str) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read(path: str | PathLike[str]) -> Snapshot | None:
    """Read the snapshot; return None if there is none or it can't be used."""
    try:
        with open(path, encoding="utf-8") as file:
            stored = json.load(file)
        return Snapshot(version_from_stored(stored["record"]), int(stored["at_us"]))
    except (OSError, ValueError, KeyError, TypeError, PolicyError):
        return None
