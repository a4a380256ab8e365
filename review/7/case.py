"""Some good answers have an array length that does not fit: no client may get what no engine made."""

import asyncio
import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stand_ins_2 as st

REQUESTS = 200
SPOILT_SHARE = 0.1  # of all good answers and pages
LENGTHS = (2, 3, 5)  # in place of 4
SEED = 7


def pages_of(txn: bytes) -> list[bytes]:
    """Return the result of a request: one to three pages, with the number of the page in every row."""
    return [
        b"".join(b"%s\t%d\t%d\n" % (txn, page, row) for row in range(3))
        for page in range(1 + int(txn, 16) % 3)
    ]


class Spoiler:
    """Encodes answers; a share of them says that it has fewer or more strings than follow."""

    def __init__(self, record: st.Record) -> None:
        self.record = record
        self.random = Random(SEED)
        self.spoilt = 0

    def __call__(self, words: list[bytes]) -> bytes:
        """Encode an answer, and spoil some."""
        data = st.resp(*words)
        if not st.IS_TROUBLED or self.random.random() >= SPOILT_SHARE:
            return data
        length = self.random.choice(LENGTHS)
        self.spoilt += 1
        self.record.add(f"spoilt: {words[1].decode()} of {words[0].decode()}: *{length} in place of *4")
        return b"*%d" % length + data.removeprefix(b"*4")


async def play(record: st.Record) -> int:
    """Play the case; return its exit status."""
    spoiler = Spoiler(record)
    engines = [st.Engine(name, record, pages_of, spoil=spoiler) for name in "abc"]
    for engine in engines:
        await engine.start()
    first = st.event(1, [st.member(f"s-{each.name}", each.address) for each in engines], complete=True)
    coordinator = st.Coordinator(first)
    await coordinator.start()
    gateway = st.Gateway(record, coordinator.address, first)
    client = st.Client("desk", record)
    try:
        await gateway.start()
        await client.connect(gateway.address)
        sent = {}
        for number in range(1, REQUESTS + 1):
            fields = st.request_fields(number)
            sequence_id, call = client.call(st.execute, fields, st.STATEMENT)
            sent[sequence_id] = fields["txn"].encode()
            client.send(call)
            await asyncio.sleep(0.03)
        wrong = served = 0
        for sequence_id, txn in sent.items():
            reply = await client.wait(sequence_id, 7.0)
            if reply is None or reply.kind != "answer":
                continue
            served += 1
            if reply.body != b"".join(pages_of(txn)):
                wrong += 1
                record.add(
                    f"client desk: {txn.decode()} was served with {reply.body!r}, which no engine made"
                )
        record.add(
            f"{served} of {len(sent)} served, {wrong} of them wrong; {spoiler.spoilt} answers were spoilt"
        )
        if not served:
            raise st.NotRunError("nothing was served")
        return st.BROKEN if wrong else st.HELD
    finally:
        client.close()
        gateway.stop()


st.run_case(__file__, play)
