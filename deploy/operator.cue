// The operator file of this installation: serve --operator deploy/operator.cue (docs/operators/admission-queue.md).
// Not named in `run`: this platform's protocol has no field for a client, and its days show no gain.
door: {
	on: true
	client: {
		field: "client"
		otherwise: "connection"
	}
	come_back: field: "retry_ms"
}
