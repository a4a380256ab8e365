"""Case 2: a statement that nobody can read keeps a gateway from reading any other request."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from stand_ins import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Client,
    Engine,
    Gateway,
    Record,
    UsualClient,
    finish,
    known,
    now_s,
    play,
    settings,
    spawn,
    steady,
)

LIMIT_MS = 2250  # 0.9 of the class's deadline: a try is given up after 80 to 100% of it
LATE_S = 0.5  # up to so much after its time an answer only earns nothing; later, or never, it is lost
LOAD_S = 10.0
PER_SECOND = 40.0
BAD_AT_S = 3.0
BAD_STATEMENT = b"[" * 60_000  # 0.06 of 60 MB


def main() -> None:
    """Play the case."""
    record = Record(Path(__file__).parent)
    engines = [Engine(f"s-{number}", record) for number in range(4)]
    gateway = Gateway("n0", settings([{"name": "lookup"}]), known(engines), None)
    if not gateway.wait_ready():
        finish(record, NOT_RUN, "the gateway did not start: " + gateway.log_text())
    clients = [UsualClient(gateway, record, f"c{number}") for number in range(4)]
    load = spawn(steady, clients, LOAD_S, PER_SECOND, b"select a, b, c from sales_1.t", "lookup", LIMIT_MS)
    time.sleep(BAD_AT_S)
    if TROUBLE:
        bad = Client(gateway, lambda _number, word, _body: record.write("bad client got", word))
        fields = {"verb": "lookup", "txn": "0123456789abcdef", "limit": "2250", "team": "fosse-haulage"}
        record.write("bad client sent one request with a statement of", len(BAD_STATEMENT), "bytes")
        bad.execute(fields, BAD_STATEMENT)
    load.join()
    time.sleep(LIMIT_MS / 1000 + LATE_S + 0.5)
    requests = [request for client in clients for request in client.requests.values()]
    lost = [each for each in requests if not is_answered_in_time(each.sent_s, each.answers)]
    for each in lost[:20]:
        record.write("lost", each.txn, f"sent={each.sent_s:.3f}", "answers", each.answers)
    ended = gateway.process.poll()
    text = f"{len(requests)} requests of usual clients, {len(lost)} without one final answer in time"
    record.write("time of the check", f"{now_s():.1f}", "gateway's exit status", ended)
    finish(record, BROKEN if lost or ended is not None else HELD, text)


def is_answered_in_time(sent_s: float, answers: list[tuple[float, str]]) -> bool:
    """Whether there is exactly one final answer, at most LATE_S after the client's time."""
    return len(answers) == 1 and answers[0][0] <= sent_s + LIMIT_MS / 1000 + LATE_S


if __name__ == "__main__":
    play(main)
