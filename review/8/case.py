"""A quarter of a large fleet drains, told in one event: nothing may be sent there after the grace."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stand_ins_2 as st

HOSTS, ENGINES_PER_HOST = 8, 400  # 3,200 engines
DRAINING = 800
EVENTS = int(os.environ.get("EVENTS", "1"))  # in how many events the drains are told
REQUEST_INTERVAL_S = 0.025
# Told 7 s after it is in the coordinator at the latest; the grace; 50 ms on sockets.
TOLD_S, GRACE_S = 7.0, 0.5 + 0.05


async def load(gateway: st.Gateway, record: st.Record, ends_at: float) -> None:
    """Send requests over many groups of tables at a steady rate."""
    client = st.Client("desk", record)
    await client.connect(gateway.address)
    number = 0
    while time.time() < ends_at:
        number += 1
        fields = st.request_fields(number)
        statement = b"select a, b, c from sales_%d.orders" % (number % 997 + 1)
        client.send(client.call(st.execute, fields, statement)[1])
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await client.wait(client.sequence_id, 7.0)
    answers = [future.result() for future in client.replies.values() if future.done()]
    served = sum(reply is not None and reply.kind == "answer" for reply in answers)
    record.add(f"client desk: {number} sent, {len(answers)} replies, {served} served")
    client.close()
    if not served:
        raise st.NotRunError("nothing was served")


async def play(record: st.Record) -> int:
    """Play the case; return its exit status."""
    hosts = [st.EngineHost(ENGINES_PER_HOST) for _ in range(HOSTS)]
    gateway = None
    try:
        await asyncio.gather(*(host.start() for host in hosts))
        addresses = [address for host in hosts for address in host.addresses]
        names = [f"s-{0x00C41F7A + 7919 * number:08x}" for number in range(len(addresses))]
        listed = [st.member(*each) for each in zip(names, addresses, strict=True)]
        first = st.event(1, listed, complete=True)
        coordinator = st.Coordinator(first)
        await coordinator.start()
        limits = {"cores": 1.0, "memory_mb": 96, "sockets": 1024}
        gateway = st.Gateway(record, coordinator.address, first, limits)
        await gateway.start()
        began = time.time()
        loading = asyncio.create_task(load(gateway, record, began + 18.0))
        await asyncio.sleep(3.0)
        draining = addresses[::4] if st.IS_TROUBLED else []
        drained = [st.member(*each, phase="draining") for each in zip(names[::4], draining, strict=False)]
        size = -(-DRAINING // EVENTS)
        for start in range(0, len(drained), size):
            told = await coordinator.tell(drained[start : start + size])
            record.add(f"coordinator: {len(drained[start : start + size])} drain, line of {told} bytes")
        told_at = time.time()
        await loading
        fetched = [each for host in hosts for each in host.fetched]
        late = [each for each in fetched if each[1] in set(draining) and each[0] > told_at + TOLD_S + GRACE_S]
        for at, address, txn in late[:20]:
            record.add(f"engine at {address}: fetch {txn}, {at - told_at:.2f} s after its drain was told")
        in_time = sum(told_at + TOLD_S + GRACE_S < each[0] for each in fetched)
        record.add(f"{len(late)} of {in_time} sends after the grace went to draining engines")
        record.add(f"the coordinator was asked to follow {coordinator.follows} times")
        for line in [line for line in gateway.log() if "discovery stream ended" in line][:5]:
            record.add(f"gateway log: {line}")
        return st.BROKEN if late else st.HELD
    finally:
        if gateway:
            gateway.stop()
        for host in hosts:
            await host.stop()


st.run_case(__file__, play)
