"""Plans of faults: which system calls of a process fail, how often and how, while it runs."""

import errno
import mmap
import os
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
CALLS = ("accept", "connect", "socket", "send", "recv", "setsockopt", "poll", "thread", "write", "sync")
ROW = struct.Struct("5i")  # rate in 1000, errno, most bytes, delay in us, calls hit
WALL = struct.Struct("q")  # ns that the wall clock is off
WALL_AT = ROW.size * len(CALLS)


def build(folder):
    """Compile the shim into a folder, once; the path of the library."""
    library = Path(folder) / "shim.so"
    if not library.exists():
        words = ["cc", "-O1", "-shared", "-fPIC", "-w", "-o", str(library), str(SOURCE), "-ldl"]
        subprocess.run(words, check=True)
    return library


class Plan:
    """The faults of one process; nothing fails until a call of set()."""

    def __init__(self, folder, seed=1):
        self.library, self.seed = build(folder), seed
        self.path = Path(folder) / "plan"
        self.path.write_bytes(bytes(WALL_AT + WALL.size))
        with open(self.path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), 0)

    def environment(self):
        """What a process is started with."""
        return os.environ | {
            "LD_PRELOAD": str(self.library),
            "FAULT_PLAN": str(self.path),
            "FAULT_SEED": str(self.seed),
        }

    def set(self, call, rate, error="", most=0, delay_us=0):
        """From now on so many in 1000 of these calls fail (error: a name of errno), are cut short or wait."""
        number = getattr(errno, error) if error else 0
        at = ROW.size * CALLS.index(call)
        ROW.pack_into(self.memory, at, rate, number, most, delay_us, self.hits(call))

    def clear(self):
        """Nothing fails any more; the wall clock stays as it is."""
        for call in CALLS:
            self.set(call, 0)

    def hits(self, call):
        """How many calls were hit so far."""
        return ROW.unpack_from(self.memory, ROW.size * CALLS.index(call))[4]

    def step_wall_clock(self, seconds):
        """The wall clock of the process is off by so much from now on."""
        WALL.pack_into(self.memory, WALL_AT, int(seconds * 1e9))
