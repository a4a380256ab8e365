"""Work that one gateway of a fleet does for all: roles with one leader at a time, elected through a store.

Logic without I/O, which is given the time and the replies of the store: store_calls, lease, membership and
role_claims (with membership_types, call_lanes, identity, role_assignment, backoff, rate_limit), role_state,
scheduled_command (with scheduled_command_actions, occurrence_records, recovery, occurrence, calendar).

Drivers, which carry out what the logic decides: driver (the fleet's thread), lane and watcher (threads that
call the store), store_client (its protocol, by a library), role_driver, scheduled_command_driver,
scheduled_command_client, heartbeats, event_log, assembly (from the operator file) and show (the command
line). store_schema has the names of the stored keys and the JSON of their values.

Gateways import this package only where the operator file turns the fleet on. docs/notes/leadership.md has the
reasons for the design.
"""
