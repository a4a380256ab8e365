"""A client takes its requests back in the pause after a bad one: they must not be sent on later."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stand_ins_2 as st

TRIALS = 30
REQUESTS = 32  # the most that a connection carries
STATEMENT = st.STATEMENT + b" and note = '" + b"x" * 15000 + b"'"
GONE_S, SLACK_S = 0.1, 0.05


async def play(record: st.Record) -> int:
    """Play the case; return its exit status."""
    fetched: dict[bytes, float] = {}
    engines = [
        st.Engine(
            name,
            record,
            lambda _txn: [b"a\tb\tc\n"],
            on_fetch=lambda _engine, txn: fetched.setdefault(txn, time.time()),
        )
        for name in "abc"
    ]
    for engine in engines:
        await engine.start()
    first = st.event(1, [st.member(f"s-{each.name}", each.address) for each in engines], complete=True)
    coordinator = st.Coordinator(first)
    await coordinator.start()
    gateway = st.Gateway(record, coordinator.address, first)
    try:
        await gateway.start()
        late = 0
        for trial in range(TRIALS):
            client = st.Client(f"desk {trial}", record)
            await client.connect(gateway.address)
            team = "nobody" if st.IS_TROUBLED else "rambla-seguros"  # the first is no tenant
            fields = st.request_fields(1000 * trial, "report", 25000, team=team)
            client.send(client.call(st.execute, fields, STATEMENT)[1])
            await asyncio.sleep(0.02)
            sent = {}
            for number in range(1, REQUESTS + 1):
                fields = st.request_fields(1000 * trial + number, "report", 25000)
                sequence_id, call = client.call(st.execute, fields, STATEMENT)
                sent[sequence_id] = fields["txn"].encode()
                client.send(call)
            await asyncio.sleep(0.02)
            for sequence_id in sent:
                client.sequence_id += 1
                client.send(st.interrupt(client.sequence_id, sequence_id))
            record.add(f"client {client.name}: has taken back {len(sent)} requests")
            taken_back_at = time.time()
            await asyncio.sleep(1.0)
            for txn in sent.values():
                at = fetched.get(txn, 0.0)
                if at > taken_back_at + GONE_S + SLACK_S:
                    late += 1
                    record.add(f"{txn.decode()}: fetched {at - taken_back_at:.3f} s after it was taken back")
            client.close()
        record.add(f"{late} requests were sent on too late")
        return st.BROKEN if late else st.HELD
    finally:
        gateway.stop()


st.run_case(__file__, play)
