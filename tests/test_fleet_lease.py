"""How long a lease certainly holds, the delays between retries, and the limit on released roles."""

from gullhold.fleet.backoff import Backoff
from gullhold.fleet.lease import Lease, LeaseTerms
from gullhold.fleet.rate_limit import RateLimiter

S = 1_000_000  # us in a second


def test_a_lease_holds_from_when_its_call_was_sent_less_clock_drift_and_margin():
    lease = Lease(LeaseTerms(10, 0.1, 500_000))
    assert not lease.is_valid(0)
    lease.renew(7, sent_at=1 * S)
    assert lease.is_valid(9_499_999)
    assert not lease.is_valid(9_500_000)
    lease.renew(7, sent_at=0)  # the reply to an earlier call does not shorten it
    assert lease.valid_until == 9_500_000
    assert lease.renew_at() < 4 * S + 200_000
    lease.renew(8, sent_at=2 * S)
    assert lease.valid_until == 10_500_000
    lease.clear()
    assert not lease.is_valid(2 * S)


def test_backoff_grows_with_jitter_and_the_rate_of_releases_is_limited():
    backoff = Backoff(100, 1000, lambda: 0.5)
    assert [backoff.next_delay_us() for _ in range(6)] == [75, 150, 300, 600, 750, 750]
    backoff.reset()
    assert backoff.next_delay_us() == 75
    limit = RateLimiter(10, 0)
    assert limit.take(0, 50) == 10
    assert limit.take(50_000, 50) == 0
    assert limit.ready_at(50_000) > 50_000
    assert sum(limit.take(at, 50) for at in range(100_000, 2_000_001, 50_000)) <= 20
