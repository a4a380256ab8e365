"""Reads a deployment's settings tree into an Agreement, in the same way for every driver.

The keys are those of the settings format, which has its own names; keys that are not read here are ignored.
"""

from collections.abc import Sequence
from typing import Any

from gullhold.interface import US_PER_SECOND, Agreement, DeduplicationScope, Idempotency, Profile, Tenant

IDEMPOTENCY_BY_SETTING = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.KEYED,
    "side_effect": Idempotency.NON_IDEMPOTENT,
}
SCOPE_BY_SETTING = {
    "all": DeduplicationScope.ALL_ENGINES,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def microseconds(seconds: float) -> int:
    """Convert seconds to integer microseconds."""
    return round(seconds * US_PER_SECOND)


def parse_settings(text: str) -> dict[str, Any]:
    """Parse lines `path=value` into a nested tree; the items of a list have the keys 0, 1 and so on."""
    tree: dict[str, Any] = {}
    for line in text.splitlines():
        path, separator, value = line.partition("=")
        *parents, last = path.split(".")
        node: Any = tree
        for parent in parents:
            node = node.setdefault(parent, {})
            if not isinstance(node, dict):
                break
        if separator and isinstance(node, dict):
            node[last] = value
    return tree


class SettingsNode:
    """One node of the settings tree, with methods that read its values in the types of the agreement.

    A value may have its JSON type or be text; a list may be a JSON list, comma-separated text, or a node with
    the keys 0, 1 and so on and the key `count`.
    """

    def __init__(self, tree: object) -> None:
        self.tree: dict[str, Any] = tree if isinstance(tree, dict) else {}

    def child(self, key: str) -> "SettingsNode":
        """Return the child node, an empty one if there is none."""
        return SettingsNode(self.tree.get(key))

    def has(self, key: str) -> bool:
        """Whether the key is present."""
        return key in self.tree

    def number(self, key: str, default: float = 0.0) -> float:
        """Return a number, or the default if it is absent or not a number."""
        try:
            return float(self.tree[key])
        except (KeyError, TypeError, ValueError):
            return default

    def microseconds(self, key: str) -> int:
        """Return a duration in microseconds that the settings give in seconds."""
        return microseconds(self.number(key))

    def flag(self, key: str) -> bool:
        """Return a flag; an absent one is false."""
        return str(self.tree.get(key)).lower() == "true"

    def text(self, key: str) -> str:
        """Return a text; an absent one is empty."""
        return str(self.tree.get(key, ""))

    def texts(self, key: str) -> list[str]:
        """Return a list of scalar values, each as text."""
        value = self.tree.get(key)
        if isinstance(value, str):
            return [item for item in value.split(",") if item]
        return [str(item) for item in value] if isinstance(value, list) else []

    def items(self, key: str) -> list["SettingsNode"]:
        """Return a list of nodes."""
        value = self.tree.get(key)
        if isinstance(value, list):
            return [SettingsNode(item) for item in value]
        node = SettingsNode(value)
        return [node.child(str(index)) for index in range(int(node.number("count")))]


def index_of(names: Sequence[str], name: str, default: int = -1) -> int:
    """Return the index of a name in its list; a number in place of a name is taken as the index."""
    if name in names:
        return names.index(name)
    try:
        return int(float(name))
    except ValueError:
        return default


def read_agreement(tree: object) -> Agreement:
    """Read the Agreement from a settings tree."""
    settings = SettingsNode(tree)
    domain, limits, rules = settings.child("domain"), settings.child("limits"), settings.child("rules")
    zone_names, kind_names = settings.texts("dcs"), settings.texts("kinds")
    has_retry_budget = rules.has("ratio_span")
    return Agreement(
        profiles=_read_profiles(settings, domain, zone_names, kind_names),
        tenants=tuple(_read_tenant(item) for item in settings.items("tenants")),
        gateways=max(1, int(settings.number("balancers"))),
        zone=index_of(zone_names, settings.text("my_zone"), 0),
        cores_by_kind=tuple(float(cores) for cores in domain.texts("cores_by_kind")),
        memory_mb_by_kind=tuple(float(memory) for memory in domain.texts("ram_of_kind_mb")),
        max_grant_share=domain.number("max_grant_share"),
        honors_grants=domain.flag("grants_count"),
        honors_priority=domain.flag("takes_priority"),
        max_attempts=int(limits.number("attempts_cap")),
        supports_cancel=limits.flag("cancel"),
        max_retry_after_us=limits.microseconds("max_retry_after") if limits.flag("retry_after") else 0,
        warmup_initial_share=rules.number("cold_from"),
        warmup_us=rules.microseconds("warm_after"),
        overload_multiple=rules.number("fall_multiple"),
        overload_window_us=rules.microseconds("tip_after"),
        key_settle_us=rules.microseconds("order_settle"),
        retry_budget_base=rules.number("min_extra") if has_retry_budget else None,
        retry_budget_share=rules.number("extra_share"),
        retry_budget_window_us=rules.microseconds("ratio_span"),
        cross_zone_costs=settings.child("charges").number("cross_zone") > 0,
        zone_names=tuple(zone_names),
        kind_names=tuple(kind_names),
        report_fields=tuple(settings.child("telemetry").texts("fields")),
        status_interval_us=domain.microseconds("note_period"),
        streams_per_connection=max(1, int(limits.number("streams_per_conn", 1))),
        connect_timeout_us=limits.microseconds("connect_timeout"),
        idle_timeout_us=limits.microseconds("conn_idle"),
        max_open_commands=int(limits.number("max_open")),
    )


def _read_profiles(
    settings: SettingsNode, domain: SettingsNode, zone_names: Sequence[str], kind_names: Sequence[str]
) -> tuple[Profile, ...]:
    threads, loads, waits = (domain.texts(key) for key in ("parallelism", "writes_tables", "class_waits"))
    return tuple(
        Profile(
            threads=max(1, int(float(threads[index]))) if index < len(threads) else 1,
            objective_us=item.microseconds("aim"),
            objective_stretch=item.number("aim_stretch"),
            timeout_us=item.microseconds("give_up"),
            benefit=item.number("value"),
            late_benefit_share=item.number("late_worth"),
            idempotency=IDEMPOTENCY_BY_SETTING.get(item.text("idempotency"), Idempotency.NON_IDEMPOTENT),
            dedup_scope=SCOPE_BY_SETTING.get(item.text("dedup_scope"), DeduplicationScope.CELL),
            dedup_window_us=item.microseconds("window"),
            ordered=item.flag("serial_by_key"),
            zones=_allowed_indexes(item, "dcs_only", zone_names),
            engine_kinds=_allowed_indexes(item, "kinds_only", kind_names),
            loads_dataset=_flag_at(loads, index),
            waits_for_loads=_flag_at(waits, index),
            name=item.text("name"),
        )
        for index, item in enumerate(settings.items("categories"))
    )


def _read_tenant(item: SettingsNode) -> Tenant:
    return Tenant(item.number("fraction"), item.number("allowance_per_s"), item.text("name"))


def _allowed_indexes(item: SettingsNode, key: str, names: Sequence[str]) -> frozenset[int] | None:
    """Return the indexes of the names that a profile is restricted to; None: all are allowed."""
    allowed = item.texts(key)
    return frozenset(index_of(names, name) for name in allowed) if allowed else None


def _flag_at(flags: Sequence[str], index: int) -> bool:
    return index < len(flags) and flags[index].lower() == "true"
