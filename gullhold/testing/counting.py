"""An engine that counts: what is in it at every moment, since when, and of which command."""

import time
from random import Random

from gullhold.net import resp
from gullhold.testing.fleet import KeepingEngine
from gullhold.testing.working import WORK, WORK_MS


class CountingEngine(KeepingEngine):
    """Keeps a row for each fetch: [came, over or None, threads, txn, work in ms, MB].

    threads: by profile, 1 where not said; runs_on: what runs when its connection ends goes on to its end, as
    engines do that notice late; fails: share of fetches that it answers with an error at once.
    """

    def __init__(self, threads=None, runs_on=False, fails=0.0, seed=1, **other):
        self.flights, self.open, self.threads, self.runs_on = [], {}, threads or {}, runs_on
        self.fails, self.luck = fails, Random(seed * 7919).random
        super().__init__(seed=seed, **other)

    def _word(self, conn, words):
        if words[0] != b"fetch":
            super()._word(conn, words)
            return
        facts, found = dict(pair.partition(b"=")[::2] for pair in words[2].split(b",")), WORK.search(words[3])
        row = [
            time.time(),
            None,
            self.threads.get(facts[b"c"].decode(), 1),
            words[1],
            float(found.group(1)) if found else WORK_MS,
            float(facts.get(b"mem", 0)),
        ]
        with self.changed:
            self.flights.append(row)
            fails = self.luck() < self.fails
            if fails:
                row[1] = row[0]
            else:
                self.open[conn, words[1]] = row
        if fails:
            conn.sendall(resp.encode(words[1], b"500", b"-", b""))
        else:
            super()._word(conn, words)

    def _gone(self, conn):
        if not self.runs_on:
            super()._gone(conn)
        else:
            self._unwait(lambda key: key[0] is conn)

    def _over(self, key):
        row = self.open.pop(key, None)
        if row:
            row[1] = time.time()
