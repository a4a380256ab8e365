"""Budgets that belong to a fleet, divided among its members: never more than the whole, at any moment.

Decisions, free of I/O: division (who should have how much), ledger (what may be given out now, for whoever
divides), purse (what a member may spend). docs/notes/budgets.md has the options and what is still to come.
"""
