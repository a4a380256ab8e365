// What an operator file may say. The operator's own file is unified with this one, once, at the start.

door: #Door
fleet: #Fleet

// Fair queues in front of the decision module.
#Door: {
	on: *false | bool

	// How much the module holds unsent: of one profile of one tenant, and in all.
	window: *1 | (int & >=1 & <=64)
	held:   *64 | (int & >=1 & <=4096)

	// What may wait at the door: commands, and bytes of their statements.
	waiting: *20000 | (int & >=16 & <=1000000)
	bytes:   *64Mi | (int & >=64Ki & <=16Gi)
	// The part of its latency target that a command may be expected to wait; beyond, it is turned away at once.
	patience: *0.8 | (number & >0 & <=1000)

	// Flows with a queue of their own, queues that the others share, and how often those are dealt anew.
	exact:  *512 | (int & >=8 & <=65536)
	shared: *128 | (int & >=1 & <=65536)
	redeal: *10s | (duration & >=1s & <=1h)

	// Who may come: only tenants of the agreement, or anyone, who then shares in the part of `others`.
	tenants: *"closed" | "open"
	others:  *"" | string

	client: #Client
	// Weights of clients by name, against 1.
	weights: {[string]: number & >0 & <=1000}

	come_back: #ComeBack
}

// Whose command it is inside a tenant: a field of the request, else its address under these networks.
#Client: {
	field:     *"" | string
	networks:  [...#Network]
	otherwise: *"connection" | "address"
}

#Network: {
	net:  string & =~"^[0-9a-fA-F:.]+/[0-9]+$"
	name: string & =~"^."
	// All of it is one client, or each address, or each connection.
	each: *"network" | "address" | "connection"
}

// What those who are turned away are told.
#ComeBack: {
	// The field of Shed that carries it, in milliseconds; "": nobody is told.
	field: *"" | string
	least: *100ms | (duration & >=1ms & <=1min)
	most:  *5s | (duration & >=10ms & <=1h)
	// Those told the same are spread over this part of the time; the part of the service kept for them.
	spread: *0.2 | (number & >=0 & <=1)
	part:   *0.5 | (number & >0 & <=0.9)
	// How long after its time one who was told still counts as in time.
	grace: *1s | (duration & >=10ms & <=1min)
	// Promises open at once, in one flow and in all.
	each: *64 | (int & >=1 & <=4096)
	all:  *20000 | (int & >=1 & <=1000000)
}

// Work on behalf of several gateways, through a register: one owner at a time (docs/operators/leadership.md).
#Fleet: {
	on: *false | bool
	// Which fleet, where several share a register.
	name: *"main" | (string & =~"^[A-Za-z0-9_.-]+$")
	// HOST:PORT of the register, and how long one call may take.
	register: *"" | (string & =~"^[^ ]+:[0-9]+$")
	timeout:  *1s | (duration & >=10ms & <=1min)
	// How long the register waits for a member's word, in whole seconds.
	lease: *5s | (duration & >=1s & <=10min)
	drift: #Drift
	duties: #Duties
	schedule: [...#Scheduled]
	// Budgets of the fleet, divided among its gateways (docs/operators/budgets.md); how often one looks at its own.
	budgets: [...#Budget]
	look:    *100ms | (duration & >=20ms & <=10s)
	policy: #Policy
	// A file to which each event is added as a line of JSON; "": the log alone.
	events: *"" | string
}

// How far clocks may be off.
#Drift: {
	// The most that the rates of two hosts' clocks differ, as a share.
	rate: *0.01 | (number & >=0 & <=0.5)
	// How much sooner than promised the register may forget a lease.
	margin: *100ms | (duration & >=0s & <=1min)
	// The most that two hosts' Unix clocks differ.
	skew: *100ms | (duration & >=0s & <=1min)
}

#Duties: {
	// The most duties a second that one member lets go for another.
	moves: *200 | (int & >=1 & <=100000)
	// How long a member that comes among others waits until duties move to it.
	settle: *5s | (duration & >=0s & <=1h)
	// Pauses between tries, growing and spread.
	pauses: {
		least: *100ms | (duration & >=1ms & <=1min)
		most:  *5s | (duration & >=10ms & <=1h)
	}
	// How long leaving waits for work that is under way.
	leaving: *4s | (duration & >=0s & <=10min)
	// So many duties that do nothing but write who owns them, this often: to see that all of it works.
	beats: *0 | (int & >=0 & <=100000)
	beat:  *1s | (duration & >=10ms & <=1h)
}

// A command that is sent on behalf of the fleet.
#Scheduled: {
	name: string & =~"^[A-Za-z0-9_.-]+$"
	// When: an expression of five fields, or six with seconds first, in a zone; or every so often.
	at:    *"" | string
	zone:  *"UTC" | string
	every: *0s | (duration & >=0s & <=24h)
	// What, in the words of the agreement. work: on one core; memory in MB.
	profile:   string
	tenant:    *"" | string
	statement: string
	work:      *0s | (duration & >=0s & <=24h)
	memory:    *0 | (int & >=0 & <=1000000)
	// How late it may begin; how often it is tried; what to do while the last one still runs.
	window:  *1min | (duration & >=100ms & <=24h)
	tries:   *3 | (int & >=1 & <=10)
	overlap: *"skip" | "wait"
}

// One budget, or one for each engine (threads, memory, cold) or tenant (open, taken).
#Budget: {
	// threads, MB of memory on an engine; commands of a tenant open, or taken within the window; further sends
	// within the window; work sent to a cold engine; share of the traffic; calls to the list's service within it.
	of: "threads" | "memory" | "open" | "taken" | "further" | "cold" | "share" | "lists"
	// open, taken: of this tenant alone; "": one like it for each that has none of its own.
	tenant: *"" | string
	// Of the fleet; cold, share: millionths, where 1000000 is all that may be expected.
	whole: *1000000 | (int & >=1 & <=1000000000000)
	// 0s: what the agreement states (further, cold). linger: how long work goes on after its gateway has gone;
	// 0s: the longest client timeout and a second.
	window: *0s | (duration & >=0s & <=1h)
	linger: *0s | (duration & >=0s & <=1h)
	// What a gateway may spend besides its part, also while the register is away, kept back for so many gateways.
	alone:   *0 | (int & >=0 & <=1000000000000)
	members: *0 | (int & >=0 & <=100000)
	// The least part of each, and the least that is of use.
	floor: *1 | (int & >=0 & <=1000000000000)
	grain: *1 | (int & >=1 & <=1000000000000)
}

// Changes of policy that take hold everywhere or nowhere (docs/operators/policy-rollout.md).
#Policy: {
	on: *false | bool
	// Cut off from the register with a change open: serve while the lease surely holds, or stop sooner.
	cut: *"keep" | "stand"
	// Where what was last in force is kept, "": nowhere; for how long after that a gateway that starts without the
	// register goes by it, 0s: it waits.
	snapshot: *"" | string
	spare:    *0s | (duration & >=0s & <=24h)
}
