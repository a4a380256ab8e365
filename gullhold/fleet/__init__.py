"""Work that is done once for all gateways of a fleet: one owner at a time, through a register.

Decisions, free of I/O: calls, lease, pace, spread, owner, schedule. Drivers: register (the wire, by a
library), driver (threads), errands (commands of the fleet's own), show (the command line). Nothing here is
imported where the operator file does not switch it on. docs/notes/owner.md says why it is built so.
"""
