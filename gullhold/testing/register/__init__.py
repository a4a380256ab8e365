"""A store server with the subset of etcd's published v3 interface that a fleet uses, for a single machine.

Tests and benchmarks use it in place of etcd, and `gullhold store` runs it for a fleet on one machine.

store: keys, revisions, leases and history; database: their SQLite file; wire: the JSON of the interface;
calls: the calls on a store; server: HTTP; journal: a record of all changes, for checkers; faults: failures
that a test requests.
"""
