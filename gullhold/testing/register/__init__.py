"""A register of our own: the subset of the published v3 interface that the fleet uses, on one machine.

A stand-in for tests and benchmarks, and the embedded default of a fleet on one machine (`gullhold register`).
"""
