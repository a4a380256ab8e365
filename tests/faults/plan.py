"""Fault plans: which system calls of a running process fail, how often and how. shim.c reads them."""

import errno
import mmap
import os
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
CALLS = ("accept", "connect", "socket", "send", "recv", "setsockopt", "poll", "thread", "write", "sync")
ROW = struct.Struct("5i")  # failures per 1000 calls, errno, max bytes, delay in us, number of calls hit
WALL_CLOCK_OFFSET = struct.Struct("q")  # ns
WALL_CLOCK_POSITION = ROW.size * len(CALLS)


def build(folder: Path | str) -> Path:
    """Compile the shim into a folder unless it exists; return the path of the library."""
    library = Path(folder) / "shim.so"
    if not library.exists():
        command = ["cc", "-O1", "-shared", "-fPIC", "-w", "-o", str(library), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True)
    return library


class Plan:
    """The fault plan of one process, in a file that the process maps. Nothing fails until set() is called."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        self.library, self.seed = build(folder), seed
        self.path = Path(folder) / "plan"
        self.path.write_bytes(bytes(WALL_CLOCK_POSITION + WALL_CLOCK_OFFSET.size))
        with open(self.path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), 0)

    def environment(self) -> dict[str, str]:
        """Return the environment variables for the process."""
        return os.environ | {
            "LD_PRELOAD": str(self.library),
            "FAULT_PLAN": str(self.path),
            "FAULT_SEED": str(self.seed),
        }

    def set(self, call: str, rate: int, error: str = "", max_bytes: int = 0, delay_us: int = 0) -> None:
        """Let some of these calls fail, transfer fewer bytes or wait from now on.

        rate: number of affected calls in 1000; error: name of the errno, "" for none; max_bytes: bytes that a
        call may transfer, 0 for any number; delay_us: wait before the call.
        """
        number = getattr(errno, error) if error else 0
        offset = ROW.size * CALLS.index(call)
        ROW.pack_into(self.memory, offset, rate, number, max_bytes, delay_us, self.hits(call))

    def clear(self) -> None:
        """Let no call fail from now on; the wall clock keeps its offset."""
        for call in CALLS:
            self.set(call, 0)

    def hits(self, call: str) -> int:
        """Return how many of these calls were affected so far."""
        return ROW.unpack_from(self.memory, ROW.size * CALLS.index(call))[4]

    def step_wall_clock(self, seconds: float) -> None:
        """Set the offset of the process's wall clock from the machine's."""
        WALL_CLOCK_OFFSET.pack_into(self.memory, WALL_CLOCK_POSITION, int(seconds * 1e9))
