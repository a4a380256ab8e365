"""A store server of our own: the subset of etcd's published v3 interface that the fleet uses, on one machine.

A stand-in for tests and benchmarks, and the embedded default of a fleet on one machine (`gullhold store`).

store: keys, revisions, leases and history; database: their file; wire: the JSON of the interface; calls: the
calls over a store; server: HTTP; journal: what a checker reads; faults: what a test's script asks for.
"""
