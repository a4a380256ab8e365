"""The admission queue: fair queueing of commands, by tenant and client, in front of the decision module.

The network code calls queue.py, which combines the other modules: the choice among tenants and flows
(fair_queue, tenant_queue, flow), bounded tables (flow_table, sketch), Retry-After times (drain_rate,
wait_estimate, retry_after, rejection_table) and the charging of work (work_accounting). client_identity
identifies the client of a command. No module here does I/O.
"""
