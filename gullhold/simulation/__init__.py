"""Deterministic simulation: several gateways in one process on virtual time, with scripted faults.

clock: virtual time; streams, endpoints: connections; network, discovery: what connects gateways and engines;
engine, client, result_rows: simulated peers; gateway: the product on virtual time; simulation: all of them;
script, fault_injection: faults; runner: one run; checker: the rules; mutants: deliberate faults; show: the
command `gullhold simulate`. docs/notes/deterministic-simulation.md describes its use.
"""
