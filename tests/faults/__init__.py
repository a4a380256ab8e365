"""Faults of system calls, played on real gateway processes over loopback.

`shim.c` is loaded into a gateway (LD_PRELOAD) and fails, shortens or delays its system calls by a seeded
plan; `plan.py` builds it and writes plans; `traffic.py` asks, answers and checks every byte that arrives.
"""
