"""How long a lease surely holds; delays between retries and the limit on moves."""

from gullhold.fleet.backoff import Backoff
from gullhold.fleet.lease import Lease, LeaseTerms
from gullhold.fleet.rate_limit import RateLimiter

S = 1_000_000  # us


def test_a_lease_runs_from_its_request_by_a_clock_that_may_be_slow():
    lease = Lease(LeaseTerms(10, 0.1, 500_000))
    assert not lease.is_valid(0)
    lease.renew(7, sent_at=1 * S)
    assert lease.is_valid(9_499_999)
    assert not lease.is_valid(9_500_000)
    lease.renew(7, sent_at=0)  # a reply that comes out of turn takes nothing back
    assert lease.valid_until == 9_500_000
    assert lease.renew_at() < 4 * S + 200_000
    lease.renew(8, sent_at=2 * S)
    assert lease.valid_until == 10_500_000
    lease.clear()
    assert not lease.is_valid(2 * S)


def test_backoff_grows_with_jitter_and_moves_are_limited_over_any_second():
    backoff = Backoff(100, 1000, lambda: 0.5)
    assert [backoff.next_delay_us() for _ in range(6)] == [75, 150, 300, 600, 750, 750]
    backoff.reset()
    assert backoff.next_delay_us() == 75
    limit = RateLimiter(10, 0)
    assert limit.take(0, 50) == 10
    assert limit.take(50_000, 50) == 0
    assert limit.ready_at(50_000) > 50_000
    assert sum(limit.take(at, 50) for at in range(100_000, 2_000_001, 50_000)) <= 20
