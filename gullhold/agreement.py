"""Reads a deployment's settings tree, once, into an Agreement; the same for every front."""

from gullhold import interface as api

EFFECTS = {"pure": api.REPLAYABLE, "token": api.UNIQUED, "side_effect": api.NON_REPLAYABLE}
SCOPES = {"all": api.ALL, "zone": api.LOCATION, "cell": api.CELL}


def micros(seconds):
    """Whole microseconds."""
    return round(seconds * 1e6)


def tree_of(text):
    """The nested tree that `path=value` lines describe; a list's items stand under 0, 1 and so on."""
    tree = {}
    for line in text.splitlines():
        path, found, value = line.partition("=")
        *steps, last = path.split(".")
        node = tree
        for step in steps:
            node = node.setdefault(step, {})
            if not isinstance(node, dict):
                break
        if found and isinstance(node, dict):
            node[last] = value
    return tree


class Node:
    """One place in the tree; values may be typed or text, lists may be lists, joined text or numbered."""

    def __init__(self, tree):
        self.tree = tree if isinstance(tree, dict) else {}

    def under(self, key):
        """The place below."""
        return Node(self.tree.get(key))

    def has(self, key):
        """Whether the settings name it."""
        return key in self.tree

    def number(self, key, absent=0.0):
        """A figure."""
        try:
            return float(self.tree[key])
        except (KeyError, TypeError, ValueError):
            return absent

    def yes(self, key):
        """A flag; absent is no."""
        return str(self.tree.get(key)).lower() == "true"

    def word(self, key):
        """A name."""
        return str(self.tree.get(key, ""))

    def several(self, key):
        """A list of plain values, as text."""
        value = self.tree.get(key)
        if isinstance(value, str):
            return [word for word in value.split(",") if word]
        return [str(word) for word in value] if isinstance(value, list) else []

    def items(self, key):
        """A list of places."""
        value = self.tree.get(key)
        if isinstance(value, list):
            return [Node(item) for item in value]
        value = Node(value)
        return [value.under(str(i)) for i in range(int(value.number("count")))]


def place_of(names, word, absent=-1):
    """The index of a name in its list; an index stands for itself."""
    if word in names:
        return names.index(word)
    try:
        return int(float(word))
    except ValueError:
        return absent


def read(tree):
    """The Agreement; settings that nobody reads are left out."""
    top = Node(tree)
    domain, limits, rules = top.under("domain"), top.under("limits"), top.under("rules")
    locations, kinds = top.several("dcs"), top.several("kinds")
    threads, loads, waits = (domain.several(key) for key in ("parallelism", "writes_tables", "class_waits"))

    def allowed(item, key, names):
        words = item.several(key)
        return frozenset(place_of(names, word) for word in words) if words else None

    def flag(words, i):
        return i < len(words) and words[i].lower() == "true"

    profiles = tuple(
        api.Profile(
            threads=max(1, int(float(threads[i]))) if i < len(threads) else 1,
            target_us=micros(item.number("aim")),
            target_stretch=item.number("aim_stretch"),
            timeout_us=micros(item.number("give_up")),
            benefit=item.number("value"),
            late_benefit=item.number("late_worth"),
            effect=EFFECTS.get(item.word("idempotency"), api.NON_REPLAYABLE),
            dedup_scope=SCOPES.get(item.word("dedup_scope"), api.CELL),
            dedup_us=micros(item.number("window")),
            ordered=item.yes("serial_by_key"),
            locations=allowed(item, "dcs_only", locations),
            kinds=allowed(item, "kinds_only", kinds),
            loads=flag(loads, i),
            stands_still=flag(waits, i),
            name=item.word("name"),
        )
        for i, item in enumerate(top.items("categories"))
    )
    tenants = tuple(
        api.Tenant(item.number("fraction"), item.number("allowance_per_s"), item.word("name"))
        for item in top.items("tenants")
    )
    return api.Agreement(
        profiles=profiles,
        tenants=tenants,
        managers=max(1, int(top.number("balancers"))),
        location=place_of(locations, top.word("my_zone"), 0),
        kind_cores=tuple(float(word) for word in domain.several("cores_by_kind")),
        kind_memory_mb=tuple(float(word) for word in domain.several("ram_of_kind_mb")),
        most_grant=domain.number("max_grant_share"),
        heeds_grants=domain.yes("grants_count"),
        heeds_priority=domain.yes("takes_priority"),
        sends_cap=int(limits.number("attempts_cap")),
        may_cancel=limits.yes("cancel"),
        come_back_us=micros(limits.number("max_retry_after")) if limits.yes("retry_after") else 0,
        cold_from=rules.number("cold_from"),
        cold_us=micros(rules.number("warm_after")),
        fall_multiple=rules.number("fall_multiple"),
        fall_us=micros(rules.number("tip_after")),
        key_rest_us=micros(rules.number("order_settle")),
        extra_free=rules.number("min_extra") if rules.has("ratio_span") else None,
        extra_share=rules.number("extra_share"),
        extra_us=micros(rules.number("ratio_span")),
        crossing_costs=top.under("charges").number("cross_zone") > 0,
        locations=tuple(locations),
        kinds=tuple(kinds),
        report_fields=tuple(top.under("telemetry").several("fields")),
        note_us=micros(domain.number("note_period")),
        streams=max(1, int(limits.number("streams_per_conn", 1))),
        connect_us=micros(limits.number("connect_timeout")),
        idle_us=micros(limits.number("conn_idle")),
        open_cap=int(limits.number("max_open")),
    )
