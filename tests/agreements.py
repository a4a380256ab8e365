"""Agreements that differ in the settings that the decisions use, for seeded and random calls."""

from driver import MS, make_agreement, profile

from gullhold.interface import DeduplicationScope, Idempotency, Tenant

ARBITRARY_ESTIMATES = (0, -5, float("nan"), float("inf"), 1e300, 64.0)  # values that a client may send

AGREEMENTS = {
    "tenants": make_agreement(
        profile(),
        profile(idempotency=Idempotency.NON_IDEMPOTENT, threads=3),
        profile(idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.ZONE, objective_us=2000 * MS),
        tenants=(Tenant(0.7), Tenant(0.3)),
    ),
    "ordered keys": make_agreement(
        profile(idempotency=Idempotency.KEYED, ordered=True),
        profile(ordered=True, late_benefit_share=0.0),
        profile(idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.CELL),
        retry_budget_base=2.0,
        retry_budget_share=0.2,
        retry_budget_window_us=2000 * MS,
        gateways=3,
    ),
    "placement": make_agreement(
        profile(zones=frozenset((1,))),
        profile(engine_kinds=frozenset((0,)), idempotency=Idempotency.NON_IDEMPOTENT),
        profile(
            idempotency=Idempotency.KEYED, ordered=True, zones=frozenset((0,)), engine_kinds=frozenset((0,))
        ),
        gateways=2,
        cross_zone_costs=True,
        honors_grants=False,
        honors_priority=False,
        max_attempts=6,
    ),
    "no cancels": make_agreement(
        profile(late_benefit_share=0.0),
        profile(threads=3, benefit=6.0, objective_us=1500 * MS),
        max_attempts=6,
        supports_cancel=False,
        honors_grants=False,
        max_retry_after_us=500 * MS,
        report_fields=("util",),
        gateways=3,
        tenants=(Tenant(0.87, 90.0), Tenant(0.13, 12.0)),
    ),
    "loads": make_agreement(
        profile(waits_for_loads=True),
        profile(threads=3, benefit=2.5),
        profile(threads=2, benefit=6.0, idempotency=Idempotency.NON_IDEMPOTENT, loads_dataset=True),
        honors_priority=False,
        cross_zone_costs=True,
        report_fields=("queue", "util"),
        gateways=5,
    ),
}
