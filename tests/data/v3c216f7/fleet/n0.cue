fleet: {
            on: true, name: "rig", register: "127.0.0.1:9", timeout: 400ms, lease: 60s, look: 200ms
            budgets: [{of: "threads", whole: 12, linger: 1s, alone: 1, members: 2},]
            policy: {on: true, snapshot: "snapshot", spare: 24h}
            drift: {rate: 0.02, margin: 50ms}
            duties: {moves: 500, settle: 200ms, beats: 1, beat: 1000ms,
                     pauses: {least: 40ms, most: 400ms}}
            events: "events"
            schedule: [{name: "warm", every: 1s, profile: "read", window: 5s, work: 10ms, statement: "select 1 from warm_1.t /* work=10 */"},
{name: "cleanup", every: 1s, profile: "once", window: 5s, work: 10ms, statement: "delete from cleanup_1.t /* work=10 */"},
{name: "audit", every: 1s, profile: "once", window: 5s, work: 2s, statement: "insert into audit_1.t /* work=2000 */"},]
        }
        door: {on: true, client: field: "client", weights: {desk: 2}}
        