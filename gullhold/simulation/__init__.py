"""Deterministic simulation: several gateways in one process on virtual time, against scripted faults.

clock: virtual time; streams, endpoints: connections; network, discovery: what joins gateways and engines;
engine, client, result_rows: simulated peers; gateway: the product on virtual time; world: all of them;
script, fault_injection: faults; play: a run; checker: the rules; mutants: deliberate faults; show: the
command `gullhold simulate`. docs/notes/deterministic-simulation.md tells how it
is used.
"""
