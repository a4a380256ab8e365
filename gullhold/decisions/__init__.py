"""The decisions of a gateway: which command runs when, on which engine, with which memory and priority.

No I/O and no clock: gateway.Gateway joins the parts below and every call gets the time. The mechanism follows
"Improving the scalability of database engines by controlling their load" (limits, fit, rounds).

command            a command and its state machine
engine             what is known of one engine; engine_registry: all of them; ranking: their orders
engine_health      failures, stalled attempts and pace of engines
load_report        utilisation that engines report
throughput_fit     the paper's throughput curve; concurrency_limit: the limits, under pressure by that fit
thread_use         threads that our attempts hold, also those that run on after a timeout
slow_start         what a warming engine may be given
retry_policy       which attempts are allowed, retry budget and cancel credit
key_order          commands that share an ordered key
fair_queue         queued commands, weighted round-robin over tenants with an adaptive round quota
placement          choice of an engine; dataset_locks, dataset_engines: what it knows of data sets
estimators         work, memory need and pace of profiles; traffic: our commands over time
fleet_budgets      this gateway's shares of the fleet's budgets
review_schedule    moments at which a command is looked at again
"""
