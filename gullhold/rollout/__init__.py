"""A policy of the fleet, changed everywhere or nowhere: numbered records, and a change as a state machine.

Decisions, free of I/O: record (what a policy may say), change (whoever carries one through), member (one
gateway's side). Drivers: driver (threads, core), snapshot (a disk that lasts), show (the command line).
docs/notes/change.md says why it is built so.
"""
