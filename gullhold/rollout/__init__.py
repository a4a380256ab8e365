"""Rollout of a fleet's policy: a new version is in force at every gateway or at none.

Modules that perform no I/O: policy_version, policy and policy_change (versions and changes), store_schema
(their stored keys and JSON), vote, rollout_coordinator with vote_tally and canary (the leader's side),
rollout_member with call_slot, key_revisions, vote_publisher, canary_figures, member_state, member_actions and
policy_gate (one gateway's side). Modules that perform I/O: rollout_driver (connects both sides with threads,
store and core), snapshot (the last known version on disk), policy_client with proposal, and policy_commands
(the command line). docs/notes/policy-rollout.md has the reasons for the design.
"""
