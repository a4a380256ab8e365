"""Budgets of a fleet, allocated to its members: together they never have more than the total.

Decisions, free of I/O: `max_min_fairness` (each member's fair share), `ledger` (what may be allocated now),
`allocator` (all budgets, at the leader), `allocation` (what a member may spend), `demand` and
`report_throttle` (what a member requests, and when). `budget_schema` has the stored keys and their JSON,
`allocator_role` and `member_budgets` connect both sides to the fleet. docs/notes/budgets.md has the reasons
for the design, the alternatives and what is still to come.
"""
