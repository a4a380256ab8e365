"""Tests of gateway and store processes whose system calls fail.

`shim.c` is loaded into a process (LD_PRELOAD) and fails, shortens or delays its system calls according to a
seeded plan; `plan.py` builds it and writes plans; `traffic.py` has clients and engines that check every byte
they receive.
"""
