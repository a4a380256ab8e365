"""The configuration file, read again while serving: only the coordinator's address moves."""

import json
import os

from loguru import logger


def mark(path):
    """What changes whenever the file at this path is replaced or written; None where there is none."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_ino, found.st_mtime_ns, found.st_size


class Reread:
    """Reads the coordinator's address anew: on SIGHUP, and by itself where the stream can't be followed.

    seen: the file's mark from before it was read at the start. A file that can't be used changes nothing.
    """

    def __init__(self, path, seen, coordinator):
        self.path, self.seen, self.coordinator = path, seen, coordinator

    def now(self):
        """SIGHUP: the file was replaced."""
        self.seen = mark(self.path)
        try:
            with open(self.path, encoding="utf-8") as file:
                address = json.load(file)["coordinator"]
            self.coordinator.move(address)
            logger.info("configuration read again: coordinator {}", address)
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as fault:
            logger.error("configuration {} can't be used, the old one holds: {!r}", self.path, fault)

    def if_changed(self):
        """Guards against a move that no SIGHUP told: the file may be replaced while we start, when none is
        sent, and a coordinator that has moved refuses for ever. Harm: none where the file did not change."""
        found = mark(self.path)
        if found is not None and found != self.seen:
            self.now()
