"""Rehearsal: several gateways in one process on virtual time, against scripted faults. In hand.

So far: clock (virtual time and the order of events at one instant), streams (byte streams that are slow, cut,
reset or silent), script (faults as typed data). docs/notes/rehearsal.md says what follows.
"""
