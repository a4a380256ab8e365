// An operator file for a fleet on one machine whose gateways share budgets: gullhold store, then
// serve --operator deploy/budgets.cue on each gateway.
// Not named in `run`: this platform forbids talk between managers (docs/operators/budgets.md).
fleet: {
	on:       true
	register: "127.0.0.1:2379"
	lease:    5s
	budgets: [
		{of: "threads", whole: 32, alone: 2, members: 8},
		{of: "further", whole: 200, window: 10s},
		{of: "cold", window: 2s},
	]
}
