"""Work that is done once for all gateways of a fleet: roles with one leader at a time, through a store.

Decisions, free of I/O: store_calls, lease, membership and role_claims (with membership_types, call_lanes,
identity, role_assignment, backoff, rate_limit), role_state, scheduled_command (with occurrence_records,
recovery, occurrence, calendar). Drivers: driver (the fleet's thread), lane and watcher (threads that wait for
the store), store_client (the wire, by a library), role_driver, scheduled_command_driver,
scheduled_command_client, heartbeats, event_log, assembly (from the operator file) and show (the command
line). store_schema has the names of the stored keys and the JSON of their values. Nothing here is imported
unless the operator file turns it on. docs/notes/leadership.md has the reasons for the design.
"""
