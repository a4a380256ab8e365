"""Some clients take their requests back at once, again and again: the gateway has to stay in its memory."""

import asyncio
import struct
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stand_ins_2 as st

MEMORY_MB = 192  # "32 to 192 MB depending on language and day"
BAD_CLIENTS = 8
OPEN_REQUESTS = 32  # the most that a connection carries
STATEMENT = st.STATEMENT + b" and note = '" + b"x" * 15_000 + b"'"
PLAY_S = 45.0
USUAL_INTERVAL_S = 0.05


async def read_all(reader: asyncio.StreamReader) -> None:
    """Read whatever the gateway sends, until it closes."""
    with suppress(OSError):
        while await reader.read(65_536):
            pass


class BadClient:
    """Sends OPEN_REQUESTS requests and takes all back at once, as often as the gateway reads them."""

    def __init__(self, number: int) -> None:
        self.count = 0
        self.first_txn = number << 40
        fields = st.request_fields(0, "report", 25000, txn="T" * 16)
        frame = st.execute(0x5EC1D5EC, fields, STATEMENT)
        self.parts = [part.partition(b"T" * 16)[::2] for part in frame.split(struct.pack(">i", 0x5EC1D5EC))]
        self.ends_at = 0.0

    def batch(self, sequence_id: int) -> bytes:
        """Return the requests and interrupts of a round; the first has the number sequence_id + 1."""
        (head, _), (before, after) = self.parts
        frames = []
        for number in range(sequence_id + 1, sequence_id + 1 + OPEN_REQUESTS):
            self.count += 1
            txn = b"%016x" % (self.first_txn + self.count)
            frames.append(head + struct.pack(">i", number) + before + txn + after)
        last = sequence_id + OPEN_REQUESTS
        for number in range(sequence_id + 1, last + 1):
            frames.append(st.interrupt(last + number - sequence_id, number))
        return b"".join(frames)

    async def run(self, address: str, ends_at: float) -> None:
        """Play until ends_at, on a new connection whenever the gateway has closed one."""
        host, port = address.split(":")
        while time.time() < ends_at:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                reading = asyncio.create_task(read_all(reader))
                sequence_id = 0
                while time.time() < ends_at and not reading.done():
                    writer.write(self.batch(sequence_id))
                    sequence_id += 2 * OPEN_REQUESTS
                    await writer.drain()
                    await asyncio.sleep(0.01)
                writer.close()
            except OSError:
                await asyncio.sleep(0.1)


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def usual(gateway: st.Gateway, record: st.Record, ends_at: float) -> list[st.Reply | None]:
    """Send requests at a steady rate; return their replies, None for each that is lost."""
    client = st.Client("desk", record)
    await client.connect(gateway.address)
    number = 0
    while time.time() < ends_at and not client.task.done():
        number += 1
        client.send(client.call(st.execute, st.request_fields(number), st.STATEMENT)[1])
        await asyncio.sleep(USUAL_INTERVAL_S)
    return [await client.wait(each, 7.0) for each in client.replies]


async def play(record: st.Record) -> int:
    """Play the case; return its exit status."""
    engines = [st.Engine(name, st.Record(record.path.parent), lambda _txn: [b"a\tb\tc\n"]) for name in "abc"]
    for engine in engines:
        await engine.start()
    first = st.event(1, [st.member(f"s-{each.name}", each.address) for each in engines], complete=True)
    coordinator = st.Coordinator(first)
    await coordinator.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    gateway = st.Gateway(record, coordinator.address, first, limits)
    try:
        await gateway.start()
        assert gateway.process is not None
        pid = gateway.process.pid
        ends_at = time.time() + PLAY_S
        desk = asyncio.create_task(usual(gateway, record, ends_at))
        bad = [BadClient(number) for number in range(1, BAD_CLIENTS + 1)] if st.IS_TROUBLED else []
        playing = [asyncio.create_task(each.run(gateway.address, ends_at)) for each in bad]
        is_killed = False
        peak_mb, said_at = 0.0, 0.0
        while time.time() < ends_at and not is_killed:
            await asyncio.sleep(0.1)
            now_mb = resident_mb(pid)
            peak_mb = max(peak_mb, now_mb)
            if time.time() > said_at + 2.0:
                said_at = time.time()
                record.add(f"gateway: {now_mb:.0f} MB, {sum(each.count for each in bad)} requests taken back")
            if now_mb > MEMORY_MB:  # the platform kills it
                is_killed = True
                record.add(f"platform: {now_mb:.0f} MB are over {MEMORY_MB} MB, the gateway is killed")
                gateway.process.kill()
        replies = await desk
        lost = sum(reply is None for reply in replies)
        served = sum(reply is not None and reply.kind == "answer" for reply in replies)
        record.add(f"client desk: {len(replies)} sent, {served} served, {lost} without an answer")
        record.add(f"peak {peak_mb:.0f} MB of {MEMORY_MB} MB")
        for task in playing:
            task.cancel()
        if not served:
            raise st.NotRunError("nothing was served")
        return st.BROKEN if is_killed else st.HELD
    finally:
        gateway.stop()


st.run_case(__file__, play)
