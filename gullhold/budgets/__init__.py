"""Budgets that belong to a fleet and are allocated to its members: never more than the total, at any moment.

Decisions, free of I/O: `max_min_fairness` (who should have how much), `ledger` (what may be given out now),
`allocator` (all budgets, at the leader), `allocation` (what a member may spend), `demand` and
`report_throttle` (what a member asks for, and when). `budget_schema` holds the keys and forms of what is
stored, `allocator_role` and `member_budgets` tie both sides to the fleet. docs/notes/budgets.md has the
options that were weighed and what is still to come.
"""
