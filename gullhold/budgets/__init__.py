"""Budgets of a fleet, allocated to its members so that together they never use more than the total.

Modules without I/O: `max_min_fairness` (each member's fair share), `ledger` (what may be allocated now),
`allocator` (all budgets, at the leader), `allocation` and `allocations` (what a member may spend), `demand`,
`report_state` and `report_throttle` (what a member requests, and when it reports). `budget_rules` derives the
rules from the operator file, `budget_schema` has the stored keys and their JSON, `allocator_role`,
`core_budgets` and `member_budgets` connect the allocator and the members' allocations to the fleet, `show`,
`stored_budgets` and `usage_report` show the stored budgets to operators. docs/notes/budgets.md has the
reasons for the design, the alternatives and what is still to come.
"""
