"""What an instance last knew to be in force, on a disk that lasts: written whole or not at all."""

import json
import os
from contextlib import suppress

from gullhold.rollout import record as records
from gullhold.rollout.record import Unfit


def write(path, record, at_us):
    """Put it there; a kill at any moment leaves the old one or the new one. at_us: Unix."""
    fresh = f"{path}.new"
    with open(fresh, "w", encoding="utf-8") as out:
        json.dump({"at_us": at_us, "record": record._asdict()}, out)
        out.flush()
        os.fsync(out.fileno())
    os.replace(fresh, path)
    with suppress(OSError):  # the folder's own entry; not all systems allow it
        folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def read(path):
    """(record, Unix us of when it was known to be in force); None: there is none that can be used."""
    try:
        with open(path, encoding="utf-8") as source:
            told = json.load(source)
        return records.unpack(told["record"]), int(told["at_us"])
    except (OSError, ValueError, KeyError, TypeError, Unfit):
        return None
