"""A thread that watches keys in the store for changes."""

import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, Protocol

import requests

from gullhold.fleet.backoff import Backoff
from gullhold.fleet.clocks import US_PER_SECOND
from gullhold.fleet.store_calls import OnChange
from gullhold.net.startup import start_thread


class WatchSession(Protocol):
    """The interface of a session with the store that a watcher uses."""

    def watch(self, prefix: str, revision: int, max_silence_s: float, on_change: OnChange) -> bool:
        """Watch keys until the stream ends; return False if the history since the revision is lost."""
        ...


class Watcher:
    """Watches the keys with a prefix, for the life of the process.

    on_change(key, value or None if it was deleted, revision) is called for each change, in order. on_gap() is
    called if the store has discarded changes that were not reported yet; the watcher then waits for
    watch_from(). Both are called on the watcher's own thread.
    """

    def __init__(
        self,
        name: str,
        make_session: Callable[[], WatchSession],
        prefix: str,
        max_silence_s: float,
        backoff: Backoff,
        on_change: OnChange,
        on_gap: Callable[[], Any],
    ) -> None:
        """name: part of the thread's name. max_silence_s: a stream without data for so long is reopened."""
        self._make_session = make_session
        self._prefix = prefix
        self._max_silence_s = max_silence_s
        self._backoff = backoff
        self._on_change = on_change
        self._on_gap = on_gap
        self._next_revision = 0  # the first one that was not reported yet
        self._start_revisions: SimpleQueue[int] = SimpleQueue()  # arguments of the calls of watch_from()
        start_thread(self._run, f"fleet watch {name}")

    def watch_from(self, revision: int) -> None:
        """Start to watch from this revision on. A running stream goes on. May be called on any thread."""
        self._start_revisions.put(revision)

    def _run(self) -> None:
        session = self._make_session()
        self._next_revision = self._start_revisions.get()
        while True:
            while not self._start_revisions.empty():
                self._next_revision = max(self._next_revision, self._start_revisions.get())
            opened_at = time.monotonic()
            try:
                is_history_complete = session.watch(
                    self._prefix, self._next_revision, self._max_silence_s, self._record_change
                )
            except (OSError, ValueError, KeyError, requests.RequestException):
                is_history_complete = True  # the stream was silent, or the store does not answer
            if not is_history_complete:
                self._on_gap()
                self._next_revision = self._start_revisions.get()
                continue
            # A watch that lasted so long has reached the store.
            if time.monotonic() - opened_at >= self._max_silence_s:
                self._backoff.reset()
            else:
                time.sleep(self._backoff.next_delay_us() / US_PER_SECOND)

    def _record_change(self, key: str, value: str | None, revision: int) -> None:
        self._next_revision = max(self._next_revision, revision + 1)
        self._on_change(key, value, revision)
