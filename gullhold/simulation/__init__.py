"""Deterministic simulation: several gateways in one process on virtual time, against scripted faults.

clock: virtual time; streams, endpoints: connections; script, fault_injection: faults; peers: engines and
clients; gateway: the product on virtual time; play: a world and its run; checker: the rules; mutants:
deliberate faults; show: the command `gullhold simulate`. docs/notes/deterministic-simulation.md tells how it
is used.
"""
