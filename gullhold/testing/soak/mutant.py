"""Runs a gateway with a deliberate fault: `python -m gullhold.testing.soak.mutant NAME serve ...`.

The checks of the soak test have to find each of these faults.
"""

import sys
import time
from collections.abc import Callable

from gullhold.__main__ import main
from gullhold.net import engine_pool
from gullhold.net.engine_connection import Attempt
from gullhold.net.pending_requests import PendingRequest, PendingRequests
from gullhold.net.shutdown import GracefulShutdown

FAULT_INTERVAL = 20  # one of so many answers is dropped, late or sent twice
DELAY_S = 1.5  # delay of an answer or of the end; longer than any that the protocol allows
answers = 0  # written so far


def _is_next_faulty() -> bool:
    global answers  # noqa: PLW0603  one thread of the process writes answers
    answers += 1
    return answers % FAULT_INTERVAL == 0


def drop_answers() -> None:
    """Settle some requests without writing their answers."""
    original = PendingRequests.answer

    def answer(self: PendingRequests, pending: PendingRequest, message: bytes) -> None:
        original(self, pending, b"" if _is_next_faulty() else message)

    PendingRequests.answer = answer  # type: ignore[method-assign]


def answer_late() -> None:
    """Delay some answers, and all behind them, beyond the client timeout."""
    original = PendingRequests.answer

    def answer(self: PendingRequests, pending: PendingRequest, message: bytes) -> None:
        if _is_next_faulty():
            time.sleep(DELAY_S)
        original(self, pending, message)

    PendingRequests.answer = answer  # type: ignore[method-assign]


def answer_twice() -> None:
    """Write some answers twice."""
    original = PendingRequests.answer

    def answer(self: PendingRequests, pending: PendingRequest, message: bytes) -> None:
        original(self, pending, message * 2 if _is_next_faulty() else message)

    PendingRequests.answer = answer  # type: ignore[method-assign]


def ignore_leaving() -> None:
    """Continue requests whose clients have left, so that queued ones are dispatched later.

    The check of a client's input right before a write would keep them from being sent: it is switched off.
    """

    def client_ended(_requests: PendingRequests, client: object, *_: object) -> None:
        client.has_left = False  # type: ignore[attr-defined]
        client.write_buffer.finish()  # type: ignore[attr-defined]

    PendingRequests.client_ended = client_ended  # type: ignore[method-assign,assignment]
    ignore_input()


def ignore_input() -> None:
    """Send attempts without a look at what has arrived from their clients."""

    def client_waits(attempt: Attempt, _now_us: int) -> bool:
        return attempt.pending.client is not None

    engine_pool.client_waits = client_waits


def end_late() -> None:
    """Let the process run on for a while after the last answers."""
    original = GracefulShutdown._stop

    def stop(self: GracefulShutdown) -> None:
        time.sleep(DELAY_S)
        original(self)

    GracefulShutdown._stop = stop  # type: ignore[method-assign]


MUTANTS: dict[str, Callable[[], None]] = {
    "drop_answers": drop_answers,
    "answer_late": answer_late,
    "answer_twice": answer_twice,
    "ignore_leaving": ignore_leaving,
    "ignore_input": ignore_input,
    "end_late": end_late,
}

if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)]()
    sys.exit(main(sys.argv[1:]))
