// An operator file for a fleet on one machine: gullhold store, then serve --operator deploy/fleet.cue on each gateway.
// Not named in `run`: this platform forbids talk between managers (docs/operators/leadership.md).
fleet: {
	on:       true
	register: "127.0.0.1:2379"
	lease:    5s
	duties: beats: 12
	schedule: [{
		name:      "warm"
		at:        "30 6 * * 1-5"
		zone:      "Europe/Brussels"
		profile:   "report"
		statement: "select count(*) from sales_1.orders"
		work:      4s
	}]
}
