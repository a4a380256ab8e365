"""The decisions of a gateway: which command runs when, on which engine, with which memory and priority.

No I/O and no clock: drivers call gateway.Gateway, each call with the time. The mechanism follows
"Improving the scalability of database engines by controlling their load" (limits, fit, rounds).

gateway            the calls of a driver; decision_call: the one in hand and its results; census: counts
parts              one object of each part below, joined
command            a command and its state machine; command_intake makes it, command_lifecycle changes it
dispatcher         reviews that are due, then queued commands in turn
engine             what is known of one engine; engine_registry: all of them; ranking: their orders
engine_health      failures, stalled attempts and pace of engines
load_report        utilisation that engines report
throughput_fit     the paper's throughput curve; concurrency_limit: the limits, under pressure by that fit
thread_use         threads that our attempts hold, also those that run on after a timeout
slow_start         what a warming engine may be given
attempt_review     open attempts that take far longer than usual
retry_policy       which attempts are allowed, retry budget and cancel credit
key_order          commands that share an ordered key
fair_queue         queued commands, weighted round-robin over tenants with an adaptive round quota
placement          choice of an engine; dataset_locks, dataset_engines: what it knows of data sets
estimators         work, memory need and pace of profiles; traffic: our commands over time
memory_grants      memory that attempts are granted
outcome_recorder   what the end of an attempt tells, passed on to the parts
fleet_budgets      this gateway's shares of the fleet's budgets; policy_terms: its policy
review_schedule    moments at which a command is looked at again
"""
