"""Shares of the fleet's budgets."""

from driver import MS, Driver, make_agreement, profile

from gullhold.interface import BudgetKind, EngineState, Outcome, ReportDemand, Shed, Tenant


class Share:
    """A share of a budget, with a limit that a test may change."""

    def __init__(self, max_in_use):
        self.max_in_use, self.in_use, self.rejected = max_in_use, 0, 0

    def limit(self):
        """Return the largest amount that may be in use."""
        return self.max_in_use

    def allows(self, amount):
        """Whether this amount may be acquired now."""
        return self.in_use + amount <= self.max_in_use

    def acquire(self, amount):
        """Add an amount to what is in use."""
        self.in_use += amount

    def release(self, amount, confirmed=True):
        """Subtract an amount from what is in use, if its end is confirmed."""
        self.in_use -= amount if confirmed else 0

    def record_rejection(self, amount):
        """Count an amount that could not be acquired."""
        self.rejected += amount


def driver_with_shares(agreement=None, **shares):
    """Return a driver whose gateway has these budget shares, and a function that applies them again.

    Each share is used for all engines and tenants. The function returns the demands, by budget and subject.
    """
    driver = Driver(agreement or make_agreement())
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0))
    shares_by_kind = {BudgetKind[name.upper()]: share for name, share in shares.items()}

    def apply_budgets():
        results = driver.gateway.apply_budgets(driver.now, lambda budget, _: shares_by_kind.get(budget))
        driver.carry_out([result for result in results if not isinstance(result, ReportDemand)])
        reports = [result for result in results if isinstance(result, ReportDemand)]
        return {
            (demand.budget, demand.subject): demand.amount for report in reports for demand in report.demands
        }

    apply_budgets()
    return driver, apply_budgets


def test_the_fleets_threads_budget_limits_dispatch_below_the_even_share_until_it_grows():
    share = Share(2)
    driver, apply_budgets = driver_with_shares(make_agreement(gateways=50), threads=share)
    for _ in range(6):
        driver.submit()
    assert len(driver.running_ids()) == 2 == share.in_use
    assert apply_budgets()[BudgetKind.THREADS, 1] == 4
    share.max_in_use = 5
    apply_budgets()
    assert len(driver.running_ids()) == 5
    share.max_in_use = 1  # no open attempt is cancelled, and none is started
    driver.end_attempt(driver.running_ids()[0], Outcome.ANSWERED)
    assert len(driver.running_ids()) == 4 == share.in_use
    # It may still run after a reset, so its release is not confirmed.
    driver.end_attempt(driver.running_ids()[0], Outcome.RESET)
    assert share.in_use == 4


def test_a_budget_share_below_one_command_dispatches_nothing():
    driver, apply_budgets = driver_with_shares(make_agreement(profile(threads=3)), threads=Share(2))
    driver.submit()
    assert not driver.running_ids()
    assert apply_budgets()[BudgetKind.THREADS, 1] == 3


def test_retries_admissions_and_open_commands_of_a_tenant_count_against_the_fleets_budgets():
    retries, admissions, open_commands = Share(1), Share(9), Share(2)
    agreement = make_agreement(
        retry_budget_base=0.0,
        retry_budget_share=0.0,
        retry_budget_window_us=1000 * MS,
        tenants=(Tenant(1.0, name="a"),),
    )
    driver = Driver(agreement)
    shares_by_kind = {
        BudgetKind.RETRIES: retries,
        BudgetKind.ADMISSIONS: admissions,
        BudgetKind.OPEN_COMMANDS: open_commands,
    }
    # The fleet's budget replaces the agreement's retry budget, which the driver must not check.
    driver.agreement = agreement._replace(retry_budget_base=None)
    driver.update_engines((1, 0, 0, EngineState.READY, 0, 0), (2, 0, 0, EngineState.READY, 0, 0))
    driver.gateway.apply_budgets(driver.now, lambda budget, _: shares_by_kind.get(budget))
    first, second, third = (driver.submit() for _ in range(3))
    assert driver.commands[third].final == Shed
    assert open_commands.rejected == admissions.rejected == 1
    for command_id in (first, second):
        driver.end_attempt(command_id, Outcome.RESET)
    driver.wait(10 * MS)
    assert len(driver.running_ids()) == 1
    assert retries.in_use == 1
    demands = driver.gateway.apply_budgets(driver.now, lambda budget, _: shares_by_kind.get(budget))[
        -1
    ].demands
    assert (BudgetKind.RETRIES, 0, 1) in demands
    driver.client_left(second)
    driver.end_attempt(driver.running_ids()[0], Outcome.ANSWERED)
    assert open_commands.in_use == 0
    assert admissions.in_use == 0


def test_memory_and_warmup_work_are_requested_and_the_traffic_share_sets_the_limit():
    memory, warmup, share = Share(100), Share(100_000), Share(500_000)
    driver, apply_budgets = driver_with_shares(
        make_agreement(gateways=50), memory=memory, warmup=warmup, traffic_share=share
    )
    driver.update_engines((1, 0, 0, EngineState.READY, 0, driver.now))
    first = [driver.submit() for _ in range(3)]
    granted = memory.in_use
    assert 0 < granted <= 100
    assert 0 < warmup.in_use <= 100_000
    assert driver.gateway.components.limits.share(driver.now) == 0.5
    demands = apply_budgets()
    assert demands[BudgetKind.MEMORY, 1] >= 64
    assert demands[BudgetKind.WARMUP, 1] > 0
    assert demands[BudgetKind.TRAFFIC_SHARE, 0] >= 3
    assert len(driver.running_ids()) < len(first)
