"""A thread that follows the changes of some keys, from where it is told to, for ever."""

import time
from queue import SimpleQueue

import requests

from gullhold.fleet.lease import MILLION
from gullhold.net.startup import start_thread


class Watcher:
    """Follows keys with a prefix. tell(key, value or None, revision) on each change, in order; missed() where
    the history back to there is gone: then it waits to be told from where anew. Both come on its thread.

    quiet_s: for so long a stream may say nothing before it is opened anew; pauses: between tries.
    """

    def __init__(self, name, make, prefix, quiet_s, pauses, tell, missed):
        self.make, self.prefix, self.quiet_s, self.pauses = make, prefix, quiet_s, pauses
        self.tell, self.missed, self.where = tell, missed, SimpleQueue()
        start_thread(self._run, f"fleet watch {name}")

    def follow(self, revision):
        """From any thread: from this revision on; one that follows already goes on."""
        self.where.put(revision)

    def _run(self):
        session, revision = self.make(), self.where.get()
        while True:
            while not self.where.empty():
                revision = max(revision, self.where.get())
            last, began = [revision], time.monotonic()

            def tell(key, value, at, last=last):
                last[0] = at + 1
                self.tell(key, value, at)

            try:
                whole = session.watch(self.prefix, revision, self.quiet_s, tell)
                if not whole:  # what changed meanwhile is not to be had
                    self.missed()
                    revision = self.where.get()
                    continue
            except (OSError, ValueError, KeyError, requests.RequestException):
                pass  # silence, or a register that is away
            revision = max(revision, last[0])
            if time.monotonic() - began >= self.quiet_s:  # it was up, and nothing changed
                self.pauses.reset()
            else:
                time.sleep(self.pauses.draw() / MILLION)
