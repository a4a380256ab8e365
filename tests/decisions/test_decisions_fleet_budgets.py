"""Shares of the fleet's budgets."""

from driver import MS, Driver, make_agreement, profile

from gullhold.interface import BudgetKind, EngineState, Outcome, ReportDemand, Shed, Tenant


class Share:
    """A share of a budget: what may be acquired, which a test changes, and what is acquired."""

    def __init__(self, most):
        self.most, self.in_use, self.rejected = most, 0, 0

    def limit(self):
        """How much of the budget may be acquired at once."""
        return self.most

    def allows(self, amount):
        """Whether so much more may be acquired."""
        return self.in_use + amount <= self.most

    def acquire(self, amount):
        """Count an amount as acquired."""
        self.in_use += amount

    def release(self, amount, confirmed=True):
        """Give an amount back, once its end is confirmed."""
        self.in_use -= amount if confirmed else 0

    def record_rejection(self, amount):
        """Count an amount that was not admitted for lack of budget."""
        self.rejected += amount


def driver_with_shares(agreement=None, **parts):
    """A driver whose gateway has these budget shares, and a function that applies them again.

    Each share is for all engines and tenants. The function returns the demands, by budget and subject.
    """
    driver = Driver(agreement or make_agreement())
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))
    found = {BudgetKind[name.upper()]: part for name, part in parts.items()}

    def apply_budgets():
        results = driver.gateway.apply_budgets(driver.now, lambda budget, _: found.get(budget))
        driver.carry_out([row for row in results if not isinstance(row, ReportDemand)])
        reports = [row for row in results if isinstance(row, ReportDemand)]
        return {
            (demand.budget, demand.subject): demand.amount for report in reports for demand in report.demands
        }

    apply_budgets()
    return driver, apply_budgets


def test_the_fleets_threads_budget_limits_dispatch_below_the_even_share_until_it_grows():
    part = Share(2)
    driver, apply_budgets = driver_with_shares(make_agreement(gateways=50), threads=part)
    for _ in range(6):
        driver.submit()
    assert len(driver.running_ids()) == 2 == part.in_use
    assert apply_budgets()[BudgetKind.THREADS, 1] == 4
    part.most = 5
    apply_budgets()
    assert len(driver.running_ids()) == 5
    part.most = 1  # it cancels nothing, and begins nothing
    driver.end_attempt(driver.running_ids()[0], Outcome.ANSWERED)
    assert len(driver.running_ids()) == 4 == part.in_use
    driver.end_attempt(
        driver.running_ids()[0], Outcome.RESET
    )  # it may run on: whoever keeps the part says when it is over
    assert part.in_use == 4


def test_a_budget_share_below_one_command_dispatches_nothing():
    driver, apply_budgets = driver_with_shares(make_agreement(profile(threads=3)), threads=Share(2))
    driver.submit()
    assert not driver.running_ids()
    assert apply_budgets()[BudgetKind.THREADS, 1] == 3


def test_retries_admissions_and_open_commands_of_a_tenant_count_against_the_fleets_budgets():
    further, taken, opened = Share(1), Share(9), Share(2)
    agreement = make_agreement(
        retry_budget_base=0.0,
        retry_budget_share=0.0,
        retry_budget_window_us=1000 * MS,
        tenants=(Tenant(1.0, name="a"),),
    )
    driver = Driver(agreement)
    found = {BudgetKind.RETRIES: further, BudgetKind.ADMISSIONS: taken, BudgetKind.OPEN_COMMANDS: opened}
    driver.agreement = agreement._replace(
        retry_budget_base=None
    )  # the stand-in front keeps the module's own budget no more
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    driver.gateway.apply_budgets(driver.now, lambda budget, _: found.get(budget))
    first, second, third = (driver.submit() for _ in range(3))
    assert driver.commands[third].final == Shed
    assert opened.rejected == taken.rejected == 1
    for one in (first, second):
        driver.end_attempt(one, Outcome.RESET)
    driver.wait(10 * MS)
    assert len(driver.running_ids()) == 1
    assert further.in_use == 1
    lacks = driver.gateway.apply_budgets(driver.now, lambda budget, _: found.get(budget))[-1].demands
    assert (BudgetKind.RETRIES, 0, 1) in lacks
    driver.client_left(second)
    driver.end_attempt(driver.running_ids()[0], Outcome.ANSWERED)
    assert opened.in_use == 0
    assert taken.in_use == 0


def test_memory_and_warmup_work_are_requested_and_the_traffic_share_sets_the_limit():
    memory, cold, share = Share(100), Share(100_000), Share(500_000)
    driver, apply_budgets = driver_with_shares(
        make_agreement(gateways=50), memory=memory, warmup=cold, traffic_share=share
    )
    driver.update_engines((1, 0, 0, EngineState.READY, 0, driver.now))
    first = [driver.submit() for _ in range(3)]
    granted = memory.in_use
    assert 0 < granted <= 100
    assert 0 < cold.in_use <= 100_000
    assert driver.gateway.components.limits.share(driver.now) == 0.5
    lacks = apply_budgets()
    assert lacks[BudgetKind.MEMORY, 1] >= 64
    assert lacks[BudgetKind.WARMUP, 1] > 0
    assert lacks[BudgetKind.TRAFFIC_SHARE, 0] >= 3
    assert len(driver.running_ids()) < len(first)
