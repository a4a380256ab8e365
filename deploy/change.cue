// An operator file for a fleet on one machine whose policy is changed everywhere or nowhere: gullhold store, then
// serve --operator deploy/change.cue on each gateway, then gullhold policy propose FILE.
// Not named in `run`: this platform forbids talk between managers (docs/operators/policy-rollout.md).
fleet: {
	on:       true
	register: "127.0.0.1:2379"
	lease:    5s
	policy: on: true
	budgets: [{of: "threads", whole: 32}]
}
