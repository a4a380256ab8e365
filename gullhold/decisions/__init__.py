"""The decisions of a gateway: which command runs when, on which engine, with which memory and priority.

This package does no I/O and reads no clock: drivers call the methods of gateway.Gateway, each with the time.
The concurrency limits, the throughput curve and the rounds of the queue follow the paper "Improving the
scalability of database engines by controlling their load".

gateway            the public calls; decision_call: the current call and its results; census: counts
components         one instance of each component below, wired together
command            a command and its state machine; command_intake creates it, command_lifecycle changes it
dispatcher         runs the reviews that are due, then dispatches queued commands in turn
engine             state of one engine; engine_registry: all engines; ranking: their order for a data set
engine_health      failures, stalled attempts and pace of engines
load_report        utilisation that engines report
throughput_fit     a throughput curve through samples; concurrency_limit: limits, under pressure by that curve
thread_use         threads that our attempts use, also those of attempts that may still run after a timeout
slow_start         how much work a warming engine may be given
attempt_review     open attempts that take far longer than usual
retry_policy       which attempts are allowed, retry budget and cancel credit
key_order          commands that share an ordered key
fair_queue         queued commands, weighted round-robin over tenants with an adaptive round quota
placement          choice of an engine; dataset_locks, dataset_engines: state of data sets on engines
estimators         work, memory need and pace of each profile; traffic: rate of commands that arrive here
memory_grants      memory granted to attempts
outcome_recorder   passes the outcome of an attempt on to the components that learn from it
fleet_budgets      this gateway's shares of the fleet's budgets
policy_terms       the fleet's policy in force; decision_terms: the values that a policy sets
review_schedule    times at which commands are reviewed
"""
