"""Rollout of a fleet's policy: a new version is in force at every gateway or at none.

Decisions, free of I/O: policy_version, policy and policy_change (what is stored), store_schema (under which
keys and how), rollout_coordinator with vote_tally and canary (the leader that carries a change out),
rollout_member, policy_gate and member_actions (one gateway's side). Drivers: member_rollout (threads, core),
snapshot (the last known version on disk), policy_client and policy_commands (the command line).
docs/notes/policy-rollout.md gives the reasons for the design.
"""
