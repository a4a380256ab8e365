"""The fair queue alone: shares, lag, weights, corrections."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.admission.fair_queue import IDLE, PARKED, READY, UNSERVED_PREFERENCE, FairQueue

QUANTUM = 10.0
STEP = st.tuples(st.integers(0, 9), st.integers(0, 5), st.floats(1.0, 40.0))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.lists(STEP, min_size=20, max_size=300),
    st.lists(st.sampled_from([0.5, 1.0, 1.0, 2.0, 5.0]), min_size=6, max_size=6),
)
def test_no_child_that_stays_backlogged_lags_by_more_than_one_largest_command_and_one_quantum(steps, weights):
    """Against the work that an ideal, endlessly divisible sharing would have given it meanwhile."""
    fair = FairQueue(QUANTUM)
    children = [fair.add(name, weight) for name, weight in enumerate(weights)]
    weight = dict(zip(children, weights, strict=True))
    queue = {child: [] for child in children}
    behind, largest = {}, 0.0  # ideal less real work since a child became backlogged
    for act, index, work in steps:
        child = children[index]
        if act < 5:
            queue[child].append(work)
            if child.state == IDLE:
                fair.join(child)
                behind[child] = 0.0
        elif (picked := fair.pick()) is not None:
            size = queue[picked].pop(0)
            largest = max(largest, size)
            total = sum(weight[other] for other in behind)
            for other in behind:
                behind[other] += size * weight[other] / total
            behind[picked] -= size
            fair.charge(picked, size)
            if not queue[picked]:
                fair.leave(picked)
                del behind[picked]
        assert {child for child in children if child.state != IDLE} == set(behind)
        assert fair.ready_count == len(behind)
        assert len(fair.ahead) + len(fair.eligible) <= 2 * 6 + 2 * 64
        for other, lag in behind.items():
            assert lag <= largest + max(largest, QUANTUM) + 1e-6, (other, lag)


class LagPlay:
    """Children that come and leave; worst: the most that one lagged, by the bound for so many children.

    bound(largest): of the lag, for the largest command so far.
    """

    def __init__(self, weights, bound):
        self.fair = FairQueue(QUANTUM)
        self.children = [self.fair.add(number, weight) for number, weight in enumerate(weights)]
        self.bound = bound
        self.queued = {child: [] for child in self.children}
        self.behind = {}  # ideal less real work since a child became backlogged
        self.largest = 0.0
        self.worst = 0.0

    def submit(self, index, work):
        """Queue a command of a child."""
        child = self.children[index]
        self.queued[child].append(work)
        if child.state == IDLE:
            self.fair.join(child)
            self.behind[child] = 0.0

    def pick(self):
        """Take the command whose turn it is, if there is one."""
        picked = self.fair.pick()
        if picked is None:
            return
        size = self.queued[picked].pop(0)
        self.largest = max(self.largest, size)
        total = sum(child.weight for child in self.behind)
        for child in self.behind:
            self.behind[child] += size * child.weight / total
        self.behind[picked] -= size
        self.fair.charge(picked, size)
        if not self.queued[picked]:
            self.fair.leave(picked)
            del self.behind[picked]
        self.worst = max(self.worst, max(self.behind.values(), default=0.0) / self.bound(self.largest))


def one_command_and_one_quantum(largest):
    """The bound that the listed property has, for six children."""
    return largest + max(largest, QUANTUM)


def worst_of_seeded_play(seed):
    """The worst lag of six children in a play that is drawn from a seed."""
    draw = random.Random(seed)
    play = LagPlay([draw.choice([0.5, 1.0, 1.0, 2.0, 5.0]) for _ in range(6)], one_command_and_one_quantum)
    for _ in range(draw.randint(20, 300)):
        if draw.randint(0, 9) < 5:
            play.submit(draw.randint(0, 5), draw.uniform(1.0, 40.0))
        else:
            play.pick()
    return play.worst


def test_in_seeded_plays_none_lags_by_more_than_one_largest_command_and_one_quantum():
    """Guards against children that come and leave: what the others were owed moved with them."""
    assert max(worst_of_seeded_play(seed) for seed in range(600)) <= 1.0


def most_lag(count):
    """The factor of the largest command by which one of so many children lags at most, proven in the note."""
    harmonic = sum(1 / number for number in range(1, count))
    return 1 + harmonic + UNSERVED_PREFERENCE * harmonic


@pytest.mark.parametrize("count", [2, 3, 6, 12, 40])
def test_the_proven_bound_holds_where_each_child_leaves_after_its_turn(count):
    """The worst for any rule: equal children of one command each, so that the last one is left behind."""
    play = LagPlay([1.0] * count, lambda largest: max(largest, QUANTUM) * most_lag(count))
    for index in range(count):
        play.submit(index, 40.0)
    for _ in range(count):
        play.pick()
    lag_of_any_rule = sum(1 / number for number in range(2, count + 1))
    assert play.worst * most_lag(count) >= lag_of_any_rule - 1e-9
    assert play.worst <= 1.0


@pytest.mark.parametrize("count", [2, 12, 40])
def test_the_proven_bound_holds_in_plays_with_many_children(count):
    for seed in range(20):
        draw = random.Random(seed)
        weights = [draw.choice([0.5, 1.0, 1.0, 2.0, 5.0]) for _ in range(count)]
        play = LagPlay(weights, lambda largest: max(largest, QUANTUM) * most_lag(count))
        for _ in range(400):
            if draw.random() < 0.5:
                play.submit(draw.randrange(count), draw.choice([1.0, 40.0, draw.uniform(1.0, 40.0)]))
            else:
                play.pick()
        assert play.worst <= 1.0, seed


def played(fair, children, size, rounds):
    """Pick and charge so often; the work done by each child. size: the work of one command of a child."""
    done = dict.fromkeys(children, 0.0)
    for _ in range(rounds):
        picked = fair.pick()
        work = size(picked)
        done[picked] += work
        fair.charge(picked, work)
    return done


def test_shares_are_of_work_not_of_counts():
    fair = FairQueue(QUANTUM)
    big, small = fair.add(None, 1.0), fair.add(None, 1.0)
    fair.join(big)
    fair.join(small)
    done = played(fair, (big, small), lambda child: 100.0 if child == big else 1.0, 2000)
    assert abs(done[big] - done[small]) <= 100 + QUANTUM


def test_what_an_estimate_left_out_is_charged_when_the_answer_tells():
    """Estimates that lie tenfold either way: shares of real work are still even in the long run."""
    fair, draw = FairQueue(QUANTUM), random.Random(3)
    low, high, true = (fair.add(None, 1.0) for _ in range(3))
    said = {low: 1.0, high: 100.0, true: 10.0}
    for child in said:
        fair.join(child)
    real, late = dict.fromkeys(said, 0.0), []
    for _ in range(6000):
        picked = fair.pick()
        fair.charge(picked, said[picked])
        real[picked] += 10.0
        late.append(picked)
        if len(late) > 8:  # eight are out at once
            child = late.pop(draw.randrange(8))
            fair.charge(child, 10.0 - said[child])
    assert max(real.values()) - min(real.values()) < 0.02 * sum(real.values())


def test_idleness_earns_no_credit_and_debts_are_kept():
    fair = FairQueue(QUANTUM)
    one, other = fair.add(None, 1.0), fair.add(None, 1.0)
    fair.join(one)
    played(fair, (one,), lambda _: 10.0, 500)  # an hour alone
    fair.join(other)
    done = played(fair, (one, other), lambda _: 10.0, 100)
    assert abs(done[one] - done[other]) <= 20  # no burst for the one that was away
    fair.charge(one, 200.0)  # a command that needed far more than was said
    fair.leave(one)
    assert not fair.can_be_forgotten(one)  # to be remembered: leaving and coming back must not clear it
    fair.join(one)
    done = played(fair, (one, other), lambda _: 10.0, 10)
    assert done[one] == 0


def test_weights_change_while_children_are_backlogged():
    fair = FairQueue(QUANTUM)
    children = [fair.add(None, 1.0) for _ in range(3)]
    for child in children:
        fair.join(child)
    played(fair, children, lambda _: 10.0, 99)
    fair.set_weight(children[0], 4.0)
    done = played(fair, children, lambda _: 10.0, 600)
    assert abs(done[children[0]] / done[children[1]] - 4) < 0.2
    assert fair.total_weight == 6.0


def test_a_parked_child_keeps_its_turn():
    fair = FairQueue(QUANTUM)
    one, other = fair.add(None, 1.0), fair.add(None, 1.0)
    fair.join(one)
    fair.join(other)
    fair.park(one)
    assert one.state == PARKED
    played(fair, (one, other), lambda _: 10.0, 4)
    fair.unpark(one)
    assert one.state == READY
    done = played(fair, (one, other), lambda _: 10.0, 3)
    assert done[one] == 30  # what it missed, first
