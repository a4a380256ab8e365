"""Plans of faults: which system calls of a process fail, how often and how, while it runs."""

import errno
import mmap
import os
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
CALLS = ("accept", "connect", "socket", "send", "recv", "setsockopt", "poll", "thread", "write", "sync")
ROW = struct.Struct("5i")  # rate in 1000, errno, most bytes, delay in us, number of calls hit
WALL_CLOCK_OFFSET = struct.Struct("q")  # ns
WALL_CLOCK_POSITION = ROW.size * len(CALLS)


def build(folder: Path | str) -> Path:
    """Compile the shim into a folder, unless it is there; returns the path of the library."""
    library = Path(folder) / "shim.so"
    if not library.exists():
        words = ["cc", "-O1", "-shared", "-fPIC", "-w", "-o", str(library), str(SOURCE), "-ldl"]
        subprocess.run(words, check=True)
    return library


class Plan:
    """The faults of one process; nothing fails until a call of set()."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        self.library, self.seed = build(folder), seed
        self.path = Path(folder) / "plan"
        self.path.write_bytes(bytes(WALL_CLOCK_POSITION + WALL_CLOCK_OFFSET.size))
        with open(self.path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), 0)

    def environment(self) -> dict[str, str]:
        """The environment variables of the process."""
        return os.environ | {
            "LD_PRELOAD": str(self.library),
            "FAULT_PLAN": str(self.path),
            "FAULT_SEED": str(self.seed),
        }

    def set(self, call: str, rate: int, error: str = "", most: int = 0, delay_us: int = 0) -> None:
        """From now on so many in 1000 of these calls fail, are cut short or wait.

        error: a name of errno. most: bytes that a call may transfer, 0: any number.
        """
        number = getattr(errno, error) if error else 0
        offset = ROW.size * CALLS.index(call)
        ROW.pack_into(self.memory, offset, rate, number, most, delay_us, self.hits(call))

    def clear(self) -> None:
        """No call fails any more; the wall clock stays as it is."""
        for call in CALLS:
            self.set(call, 0)

    def hits(self, call: str) -> int:
        """How many calls were hit so far."""
        return ROW.unpack_from(self.memory, ROW.size * CALLS.index(call))[4]

    def step_wall_clock(self, seconds: float) -> None:
        """From now on the wall clock of the process is off by so much."""
        WALL_CLOCK_OFFSET.pack_into(self.memory, WALL_CLOCK_POSITION, int(seconds * 1e9))
