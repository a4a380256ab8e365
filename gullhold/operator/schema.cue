// The schema of the operator file, with defaults (marked *) and bounds. The file is unified with it at startup.

door: #Door
fleet: #Fleet

// The admission queue: fair queues in front of the decision module.
#Door: {
	on: *false | bool

	// Limits of the commands that the decision module holds and has not dispatched: of one profile of one tenant,
	// and in all.
	window: *1 | (int & >=1 & <=64)
	held:   *64 | (int & >=1 & <=4096)

	// Limits of the queue: commands, and bytes of their statements.
	waiting: *20000 | (int & >=16 & <=1000000)
	bytes:   *64Mi | (int & >=64Ki & <=16Gi)
	// A command is shed on arrival if its expected wait exceeds this multiple of its latency objective.
	patience: *0.8 | (number & >0 & <=1000)

	// Limit of the flows of a single heavy client each; flows of a tenant that its other clients share; interval at
	// which those clients are redistributed over the shared flows.
	exact:  *512 | (int & >=8 & <=65536)
	shared: *128 | (int & >=1 & <=65536)
	redeal: *10s | (duration & >=1s & <=1h)

	// "closed": commands of unknown tenants are rejected; "open": they use the share of the tenant `others`.
	tenants: *"closed" | "open"
	others:  *"" | string

	client: #Client
	// Weights of clients in fair queueing, by name; other clients have weight 1.
	weights: {[string]: number & >0 & <=1000}

	come_back: #ComeBack
}

// How the client of a command is identified inside its tenant.
#Client: {
	// The request field with the client's name; "": none.
	field:     *"" | string
	// For requests without that field: networks by which the client's address is looked up.
	networks:  [...#Network]
	// Outside these networks: each connection, or each address, is one client.
	otherwise: *"connection" | "address"
}

#Network: {
	// Address and prefix length.
	net:  string & =~"^[0-9a-fA-F:.]+/[0-9]+$"
	// The client's name, if the whole network is one client.
	name: string & =~"^."
	// What counts as one client: the whole network, each address in it, or each connection from it.
	each: *"network" | "address" | "connection"
}

// Retry-After times for the clients of shed commands.
#ComeBack: {
	// The field of Shed with the time in milliseconds; "": no Retry-After times are sent.
	field: *"" | string
	// Bounds of the time.
	least: *100ms | (duration & >=1ms & <=1min)
	most:  *5s | (duration & >=10ms & <=1h)
	// Random addition to a time, at most this part of it, so that clients do not all retry together.
	spread: *0.2 | (number & >=0 & <=1)
	// The part of a flow's service that is reserved for retries in their windows.
	part:   *0.5 | (number & >0 & <=0.9)
	// How long after its Retry-After time a retry is still in its window.
	grace: *1s | (duration & >=10ms & <=1min)
	// Limits of the windows that are open at the same time, in one flow and in all.
	each: *64 | (int & >=1 & <=4096)
	all:  *20000 | (int & >=1 & <=1000000)
}

// Work that several gateways coordinate through a store, the register: each role has one leader at a time
// (docs/operators/leadership.md).
#Fleet: {
	on: *false | bool
	// The name of the fleet, as several may share a register.
	name: *"main" | (string & =~"^[A-Za-z0-9_.-]+$")
	// HOST:PORT of the register, and the timeout of a call to it.
	register: *"" | (string & =~"^[^ ]+:[0-9]+$")
	timeout:  *1s | (duration & >=10ms & <=1min)
	// How long a member's lease holds without a renewal, in whole seconds.
	lease: *5s | (duration & >=1s & <=10min)
	drift: #Drift
	duties: #Duties
	schedule: [...#Scheduled]
	// Budgets of the fleet, divided among its members (docs/operators/budgets.md).
	budgets: [...#Budget]
	// The interval at which a member collects its usage of these budgets.
	look:    *100ms | (duration & >=20ms & <=10s)
	policy: #Policy
	// A file to which each event is appended as a line of JSON; "": only the log has the events.
	events: *"" | string
}

// How much clocks may differ.
#Drift: {
	// The largest relative difference between the rates of two hosts' clocks.
	rate: *0.01 | (number & >=0 & <=0.5)
	// How much too early the register may end a lease.
	margin: *100ms | (duration & >=0s & <=1min)
	// The largest difference between two hosts' Unix clocks.
	skew: *100ms | (duration & >=0s & <=1min)
}

// How roles (duties) are distributed over the members of the fleet.
#Duties: {
	// How many roles per second a member gives up so that they move to other members.
	moves: *200 | (int & >=1 & <=100000)
	// How long a member that joins others waits before roles move to it.
	settle: *5s | (duration & >=0s & <=1h)
	// Bounds of the backoff between retries; it is exponential, with random jitter.
	pauses: {
		least: *100ms | (duration & >=1ms & <=1min)
		most:  *5s | (duration & >=10ms & <=1h)
	}
	// How long a member that leaves waits for its work in progress.
	leaving: *4s | (duration & >=0s & <=10min)
	// Number of heartbeat roles, and their interval: a leader only writes to the register, which shows that leadership
	// works.
	beats: *0 | (int & >=0 & <=100000)
	beat:  *1s | (duration & >=10ms & <=1h)
}

// A command that is sent on behalf of the fleet.
#Scheduled: {
	name: string & =~"^[A-Za-z0-9_.-]+$"
	// When: a calendar expression of five fields, or six with seconds first, in a time zone; or a fixed interval.
	at:    *"" | string
	zone:  *"UTC" | string
	every: *0s | (duration & >=0s & <=24h)
	// What: profile and tenant of the agreement, and the statement; its expected work on one core and memory in MB.
	profile:   string
	tenant:    *"" | string
	statement: string
	work:      *0s | (duration & >=0s & <=24h)
	memory:    *0 | (int & >=0 & <=1000000)
	// How late an occurrence may begin; how many attempts it may have; whether it is skipped or waits while the
	// previous one runs.
	window:  *1min | (duration & >=100ms & <=24h)
	tries:   *3 | (int & >=1 & <=10)
	overlap: *"skip" | "wait"
}

// One budget, or one for each engine (threads, memory, cold) or tenant (open, taken).
#Budget: {
	// threads, memory: in use on an engine, memory in MB; open: pending commands of a tenant; taken: commands of a
	// tenant accepted within the window; further: retries within the window; cold: work sent to an engine that is
	// warming, within the window; share: share of the traffic; lists: calls to the discovery service within the window.
	of: "threads" | "memory" | "open" | "taken" | "further" | "cold" | "share" | "lists"
	// open, taken: the tenant that it is for; "": one budget for each tenant that has none of its own.
	tenant: *"" | string
	// The total for the fleet; cold, share: in millionths, 1000000 is the whole expected amount.
	whole: *1000000 | (int & >=1 & <=1000000000000)
	// The window within which spending is counted; 0s: the agreement's window (further, cold).
	window: *0s | (duration & >=0s & <=1h)
	// How long work may run on after its gateway has stopped; 0s: the longest client timeout and one second.
	linger: *0s | (duration & >=0s & <=1h)
	// The reserve of each member besides its allocation, usable also while the register does not answer, and the number
	// of members for which it is kept.
	alone:   *0 | (int & >=0 & <=1000000000000)
	members: *0 | (int & >=0 & <=100000)
	// The smallest allocation of a member, and the smallest amount that is usable.
	floor: *1 | (int & >=0 & <=1000000000000)
	grain: *1 | (int & >=1 & <=1000000000000)
}

// Changes of policy that all members adopt or none (docs/operators/policy-rollout.md).
#Policy: {
	on: *false | bool
	// When a member that can't reach the register while a change is open stops dispatching: "keep": when its lease
	// ends, "stand": earlier, by a third of the time for which a lease certainly holds.
	cut: *"keep" | "stand"
	// A file that keeps the policy last in force; "": none.
	snapshot: *"" | string
	// The age of the snapshot up to which a gateway that starts without the register uses it; 0s: it waits for the
	// register.
	spare:    *0s | (duration & >=0s & <=24h)
}
