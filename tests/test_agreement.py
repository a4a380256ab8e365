"""Reading an agreement from settings given as text and as JSON."""

from gullhold.agreement import parse_settings, read_agreement


def test_text_and_json_settings_give_the_same_agreement():
    tree = {
        "balancers": 3,
        "my_zone": 1,
        "dcs": ["north", "south"],
        "kinds": ["a", "b"],
        "categories": [
            {
                "name": "x",
                "aim": 0.5,
                "idempotency": "token",
                "dedup_scope": "all",
                "window": 15.0,
                "dcs_only": ["south"],
                "kinds_only": [1],
                "serial_by_key": True,
                "give_up": 4.0,
            }
        ],
        "tenants": [{"name": "t", "fraction": 0.7, "allowance_per_s": 9.0}],
        "domain": {
            "parallelism": [2],
            "writes_tables": [True],
            "class_waits": [False],
            "note_period": 0.5,
            "cores_by_kind": [12, 4],
            "ram_of_kind_mb": [99.0, 2.0],
        },
        "limits": {"cancel": True, "streams_per_conn": 32, "connect_timeout": 0.25, "max_open": 20},
        "rules": {"ratio_span": 5.0, "min_extra": 3.0},
        "telemetry": {"fields": ["inflight", "x0"]},
    }

    def lines(node, path=""):
        if isinstance(node, dict):
            return [
                row for key, value in node.items() for row in lines(value, f"{path}.{key}" if path else key)
            ]
        if isinstance(node, list) and node and isinstance(node[0], dict):
            return [f"{path}.count={len(node)}"] + [
                row for i, item in enumerate(node) for row in lines(item, f"{path}.{i}")
            ]
        if isinstance(node, list):
            node = ",".join(str(scalar) for scalar in node)
        return [f"{path}={str(node).lower() if isinstance(node, bool) else node}"]

    agreement = read_agreement(tree)
    assert agreement == read_agreement(parse_settings("\n".join(lines(tree)).replace("True", "true")))
    profile = agreement.profiles[0]
    assert profile.zones == {1}
    assert profile.engine_kinds == {1}
    assert profile.ordered
    assert profile.loads_dataset
    assert profile.threads == 2
    assert agreement.connect_timeout_us == 250_000
    assert agreement.report_fields == ("inflight", "x0")
    assert agreement.retry_budget_base == 3.0
    assert read_agreement({}).profiles == ()
    assert read_agreement({}).retry_budget_base is None
