// A field of each kind: units, nesting, definitions, lists and maps.
#Slow: 2.5s
door: on: true
door: come_back: {least: 250ms, most: #Slow, field: "back"}
door: {
	bytes: 1Mi, waiting: 5K
	client: networks: [
		{net: "10.0.0.0/8", name: "a"},
		{net: "2001:db8::/32", name: "b", each: "address"},
	]
	weights: {"big desk": 2, small: 0.5}
}
fleet: {
	on: true, name: "east", register: "10.1.2.3:2379", timeout: 400ms, lease: 7s, look: 50ms
	drift: {rate: 0.02, margin: 50ms}
	duties: {moves: 500, settle: 200ms, beats: 3, beat: 50ms, pauses: {least: 40ms, most: 400ms}}
	events: "/var/log/gullhold/events"
	policy: {on: true, cut: "stand", snapshot: "/var/lib/gullhold/last", spare: 1h}
	budgets: [{of: "open", tenant: "t", whole: 40, alone: 2, members: 4, floor: 3, grain: 2, linger: 1s}]
	schedule: [{name: "night", at: "0 30 2 * * *", zone: "Europe/Paris", profile: "mark",
		statement: "select 1", work: 4s, memory: 64, window: 5min, tries: 2, overlap: "wait"}]
}
