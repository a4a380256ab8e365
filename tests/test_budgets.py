"""Budgets: dividing a whole, the books of who divides, and what a member may spend."""

from collections import deque
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullhold.budgets.divider import Budget, Divider, plan
from gullhold.budgets.division import calm, shares
from gullhold.budgets.ledger import HELD, WINDOWED, Ledger
from gullhold.budgets.purse import Purse

S = 1_000_000


def even(names, weight=1):
    return dict.fromkeys(names, weight)


def test_a_whole_goes_where_it_is_wanted_and_nobody_is_left_under_the_floor():
    names = [f"n{i}" for i in range(6)]
    one = shares(60, {name: 100 if name == "n0" else 0 for name in names}, even(names), 1)
    assert one == {"n0": 55} | dict.fromkeys(names[1:], 1)
    assert shares(60, even(names, 100), even(names), 1) == even(names, 10)
    assert shares(60, dict(zip(names, (1, 2, 3, 100, 100, 100), strict=True)), even(names), 0) == dict(
        zip(names, (1, 2, 3, 18, 18, 18), strict=True))
    assert shares(60, even("ab", 100), {"a": 2, "b": 1}, 0) == {"a": 40, "b": 20}
    assert sum(shares(100, even(range(1000), 5), even(range(1000)), 1).values()) == 100
    assert shares(0, even("ab", 5), even("ab"), 1) == {"a": 0, "b": 0} and shares(5, {}, {}, 1) == {}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 200), st.integers(0, 5),
       st.lists(st.tuples(st.integers(0, 90), st.integers(1, 4)), min_size=1, max_size=9))
def test_shares_are_max_min_fair(whole, floor, rows):
    wants = {i: want for i, (want, _) in enumerate(rows)}
    weights = {i: weight for i, (_, weight) in enumerate(rows)}
    parts = shares(whole, wants, weights, floor)
    assert sum(parts.values()) == whole
    low = min(floor, whole // len(rows))
    assert all(part >= low for part in parts.values())
    short = [i for i, want in wants.items() if parts[i] < want]
    for i in short:   # it has no less for its weight than anybody above the floor
        for j, part in parts.items():
            if part > max(low, 1):
                assert (part - 1) / weights[j] <= (parts[i] + 1) / weights[i]


def test_small_changes_that_help_nobody_are_left_alone():
    old, wants = {"a": 50, "b": 50}, {"a": 10, "b": 12}
    assert calm(old, {"a": 48, "b": 52}, wants) == old
    assert calm(old, {"a": 20, "b": 80}, wants) == {"a": 20, "b": 80}
    assert calm(old, {"a": 48, "b": 52}, {"a": 10, "b": 60}) == {"a": 48, "b": 52}
    assert calm(old, {"a": 48, "b": 50, "c": 2}, wants | {"c": 0}) == {"a": 48, "b": 50, "c": 2}


def test_a_part_goes_on_only_when_it_was_given_back():
    books = Ledger(HELD, 10, linger_us=5 * S)
    assert books.write({"a": 10, "b": 0}, 1, 0) == {"a": 10}
    assert books.write({"a": 4, "b": 6}, 2, 0) == {"a": 4}
    assert books.free(0) == 0   # a may not have heard
    books.report("a", 1, 9, 0)
    assert books.free(0) == 0
    books.report("a", 2, 7, 0)   # it has, and still has seven under way
    assert books.write({"a": 4, "b": 6}, 3, 0) == {"b": 3}
    books.report("a", 2, 4, 0)
    assert books.write({"a": 4, "b": 6}, 4, 0) == {"b": 6} and books.charged(0) == 10
    books.report("a", 1, 0, 0)   # an older word
    assert books.free(0) == 0


def test_what_a_member_could_spend_in_a_window_counts_until_the_window_has_passed():
    books = Ledger(WINDOWED, 10, window_us=5 * S)
    books.write({"a": 10, "b": 0, "c": 0}, 1, 0)
    books.write({"a": 0, "b": 10}, 2, 0)
    books.report("a", 2, 0, 1 * S)
    assert books.write({"b": 10}, 3, 5 * S) == {}
    assert books.write({"a": 6, "b": 10}, 3, 5 * S) == {"a": 6}   # to it itself it costs nothing
    books.write({"a": 0}, 4, 5 * S)
    books.report("a", 4, 0, 5 * S)
    assert books.write({"b": 10}, 5, 6 * S) == {"b": 4} and books.write({"b": 10}, 6, 10 * S) == {"b": 10}


def test_the_dead_are_charged_until_nothing_of_theirs_can_go_on():
    books = Ledger(HELD, 10, linger_us=5 * S)
    books.write({"a/1": 10}, 1, 0)
    books.left("a/1", 2 * S)
    assert books.write({"a/2": 10}, 2, 6 * S) == {}   # another process of the same name
    assert books.write({"a/2": 10}, 2, 7 * S) == {"a/2": 10}
    books.report("a/2", 2, 0, 7 * S)
    books.left("a/2", 7 * S, in_order=True)
    assert books.free(7 * S) == 10 and not books.write({}, 3, 7 * S) and books.entries == {}


def test_a_whole_lowered_below_what_is_out_gives_nothing_until_it_has_come_down():
    books = Ledger(HELD, 10)
    books.write({"a": 10}, 1, 0)
    books.whole = 4
    assert books.free(0) == -6 and books.write({"a": 4, "b": 1}, 2, 0) == {"a": 4}
    books.report("a", 2, 8, 0)
    assert books.write({"b": 1}, 3, 0) == {}


def test_a_purse_holds_while_its_lease_does_and_cancels_nothing():
    purse = Purse(HELD, alone=1)
    assert purse.spend(0) and not purse.spend(0)   # alone
    purse.told(3, 5, until=2 * S)
    assert purse.spend(0) and purse.spend(0) and not purse.spend(0)
    purse.told(1, 6, until=2 * S)
    assert purse.out == 3 and not purse.may(0) and purse.report(0) == (6, 3, 5)
    purse.told(9, 5, until=9 * S)   # an older write
    assert purse.most(0) == 1
    for _ in range(3):
        purse.over()
    assert purse.may(0) and purse.most(3 * S) == purse.alone
    purse = Purse(WINDOWED, window_us=5 * S)
    purse.told(2, 1, until=99 * S)
    assert purse.spend(0) and purse.spend(S) and not purse.spend(4 * S) and purse.spend(5 * S)
    assert purse.report(5 * S) == (1, 0, 3)


ACTS = ("time", "divide", "hear", "report", "lose", "join", "die", "leave", "spend", "rush", "end", "divider")
STEPS = st.lists(st.tuples(
    st.sampled_from(ACTS), st.integers(0, 99)), max_size=80)
ALONE, LEASE_US, WINDOW_US, LINGER_US, MOST = 1, 2 * S, 3 * S, 4 * S, 5


class Player:
    """Members with purses, a divider with its books, and writes and reports that are late or lost."""

    def __init__(self, kind, make=Ledger):
        self.make = make
        self.kind, self.now, self.revision, self.serial, self.whole = kind, 0, 0, 0, 20
        self.books, self.members, self.mail, self.words = self._books(), {}, deque(), deque()
        self.lingering, self.spent, self.kept = deque(), deque(), []
        self.rebuilt = 0

    def _books(self):
        return self.make(self.kind, self.whole, WINDOW_US, LINGER_US, reserve=ALONE * MOST)

    def join(self, _):
        if len(self.members) < MOST:
            self.serial += 1
            self.members[f"m/{self.serial}"] = Purse(self.kind, WINDOW_US, ALONE)

    def divide(self, k):
        wants = {name: (k * (i + 3)) % 23 for i, name in enumerate(self.members)}
        self.revision += 1
        parts = shares(max(0, self.books.whole - self.books.reserve), wants, even(wants), 1)
        for name, part in self.books.write(parts, self.revision, self.now).items():
            self.mail.append((name, part, self.revision))
        self.kept = self.books.dump()   # in the same transaction

    def hear(self, k):
        """A member hears of the newest write for it; it may miss those between."""
        if self.mail:
            name, part, revision = self.mail[k % len(self.mail)]
            del self.mail[k % len(self.mail)]
            if name in self.members:
                self.members[name].told(part, revision, self.now + LEASE_US)

    def report(self, k):
        if self.members:
            name = list(self.members)[k % len(self.members)]
            revision, out, _ = self.members[name].report(self.now)
            if revision:
                self.words.append((name, revision, out))
        while len(self.words) > k % 4:
            name, revision, out = self.words.popleft()
            if name in self.books.entries:
                self.books.report(name, revision, out, self.now)
                self.kept = self.books.dump()

    def lose(self, k):
        for queue in (self.mail, self.words):
            if queue and k % 2:
                queue.popleft()

    def die(self, k):
        """Its lease ends a while later; what it began goes on for as long as it may."""
        if not self.members:
            return
        name = list(self.members)[k % len(self.members)]
        self.lingering.append((self.now + LINGER_US, self.members.pop(name).out))
        self.books.left(name, self.now + LEASE_US)

    def leave(self, k):
        for name in list(self.members)[k % 3:k % 3 + 1]:
            if not self.members[name].out:
                self.members.pop(name)
                self.books.left(name, self.now, in_order=True)

    def spend(self, k):
        purses = list(self.members.values())
        if purses and purses[k % len(purses)].spend(self.now):
            self.spent.append(self.now)

    def rush(self, k):
        for _ in range(25):
            self.spend(k)

    def end(self, k):
        for purse in list(self.members.values())[k % 3:]:
            if purse.out and self.kind == HELD:
                purse.over()

    def divider(self, _):
        """Another takes over with what was written last; who has gone meanwhile it learns anew."""
        gone = [name for name, entry in self.books.entries.items() if entry.gone]
        self.books = self._books()
        self.books.load(self.kept, self.now)
        for name in gone:
            self.books.left(name, self.now + LEASE_US)
        self.rebuilt += 1

    def time(self, k):
        self.now += k * S // 40
        for purse in self.members.values():
            if purse.until > self.now - S // 2:   # most keep their lease
                purse.kept(self.now + LEASE_US)

    def check(self):
        """Never more than the whole, by what was really begun."""
        while self.lingering and self.lingering[0][0] <= self.now:
            self.lingering.popleft()
        if self.kind == HELD:
            used = sum(purse.out for purse in self.members.values()) + sum(out for _, out in self.lingering)
        else:
            while self.spent and self.spent[0] <= self.now - WINDOW_US:
                self.spent.popleft()
            used = len(self.spent)
        assert used <= self.whole, (used, self.whole)


@pytest.mark.parametrize("kind", [HELD, WINDOWED])
@settings(derandomize=True, max_examples=300, deadline=None)
@given(steps=STEPS)
def test_whatever_is_lost_late_or_dead_no_more_than_the_whole_is_ever_in_use(kind, steps):
    player = Player(kind)
    player.join(0)
    for what, k in steps:
        getattr(player, what)(k)
        player.check()


class HandsOn(Ledger):
    """Gives a part on before it was given back."""

    def write(self, targets, revision, now):
        changed = super().write(targets, revision, now)
        for entry in self.entries.values():
            entry.owed = []
        return changed


class ForgetsWindow(Ledger):
    """Charges what was spent under a larger part no longer than the part."""

    def report(self, name, seen, out, now):
        super().report(name, seen, out, now)
        self.entries[name].ends = []


class ForgetsOut(Ledger):
    """Takes what is under way for over when a part is given back."""

    def report(self, name, seen, out, now):
        super().report(name, seen, 0, now)


class BuriesAtOnce(Ledger):
    """Takes all that a dead member began for over."""

    def left(self, name, surely_at, in_order=False):
        super().left(name, surely_at, in_order)
        if name in self.entries:
            self.entries[name].ends = []


class NoReserve(Ledger):
    """Divides also what is kept back for those who are alone."""

    def free(self, now):
        return super().free(now) + self.reserve


class ForgetsBooks(Ledger):
    """Begins with nobody charged when it takes over."""

    def load(self, rows, now):
        pass


class OldWords(Ledger):
    """Goes by whatever word comes last."""

    def report(self, name, seen, out, now):
        self.entries[name].seen = 0
        super().report(name, seen, out, now)


class RaisesTwice(Ledger):
    """Gives the same free part to each that wants it."""

    def free(self, now):
        return self.whole - self.reserve - max([entry.charge(now) for entry in self.entries.values()] or [0])


class OverAtOnce(Ledger):
    """Takes what may go on for over when another takes the books over."""

    def load(self, rows, now):
        super().load([[*row[:-1], []] for row in rows], now)


class BookedLate(Ledger):
    """Books a raise when it is acknowledged, not when it is written."""

    def dump(self):
        return [[name, 0, *rest] for name, _, *rest in super().dump()]


@pytest.mark.parametrize("mutant", [HandsOn, ForgetsWindow, ForgetsOut, BuriesAtOnce, NoReserve, ForgetsBooks,
                                    OldWords, RaisesTwice, OverAtOnce, BookedLate])
def test_the_play_finds_books_that_are_wrong(mutant):
    for seed in range(3000):
        draw = Random(seed)
        player = Player((HELD, WINDOWED)[seed % 2], mutant)
        try:
            player.join(0)
            for _ in range(120):
                getattr(player, draw.choice(ACTS))(draw.randrange(100))
                player.check()
        except AssertionError:
            return
    pytest.fail("not found")


# All budgets of a fleet


def fleet(*members, **budgets):
    divider = Divider(budgets or {"b": Budget(HELD, 60)})
    for member in members:
        divider.join(member)
    return divider


def settle(divider, wants, revision=1, now=0, rounds=4):
    """Everybody hears all, has nothing out, and wants this; the parts in the end."""
    for _ in range(rounds):
        divider.divide(revision, now)
        for member in divider.members:
            divider.report(member, {"b": (revision, 0, wants.get(member, 0))}, now)
        revision += 1
    return divider.books["b"].parts()


def test_where_all_demand_is_at_one_of_six_it_gets_nearly_all_and_even_demand_is_served_evenly():
    names = [f"m{i}" for i in range(6)]
    parts = settle(fleet(*names), {"m2": 500})
    assert parts["m2"] / 60 >= 0.9 and sum(parts.values()) == 60
    assert set(settle(fleet(*names), dict.fromkeys(names, 500)).values()) == {10}


def test_a_fleet_at_rest_writes_nothing_and_a_hoarder_loses_what_others_want():
    divider = fleet("a", "b")
    settle(divider, {"a": 100})
    assert not divider.changed and divider.divide(9, 0) == {}
    divider.report("a", {"b": (9, 0, 0)}, 0)      # it asked for all and spends nothing
    divider.report("b", {"b": (9, 0, 100)}, 0)
    assert divider.divide(10, 0) == {"a": {"b": 1}}
    divider.report("a", {"b": (10, 0, 0), "unknown": (1, 1, 1)}, 0)
    assert divider.divide(11, 0) == {"b": {"b": 59}}


def test_so_many_budgets_are_looked_at_in_one_division_and_none_is_passed_over():
    divider = fleet("a", "b", **{f"b{i}": Budget(HELD, 10) for i in range(50)})
    divider.divide(1, 0, most=50)
    for i in range(50):   # a has not heard that it has less now: these stay to be looked at
        divider.report("b", {f"b{i}": (1, 0, 9)}, 0)
    seen = [set(divider.divide(2 + turn, 0, most=20).get("a", ())) for turn in range(3)]
    assert [len(names) for names in seen] == [20, 20, 10] and len(set.union(*seen)) == 50


def test_demand_that_alternates_moves_parts_and_never_more_than_the_whole():
    divider = fleet("a", "b", b=Budget(WINDOWED, 20, window_us=2 * S))
    for second in range(20):
        divider.divide(second + 1, second * S)
        for i, member in enumerate(("a", "b")):
            divider.report(member, {"b": (second + 1, 0, 50 * (second % 2 == i))}, second * S)
        assert divider.books["b"].charged(second * S) <= 20


def test_a_thousand_members_share_a_whole_of_a_hundred_and_the_next_divider_goes_on():
    divider = fleet(*(f"m{i}" for i in range(1000)), b=Budget(HELD, 100, linger_us=S))
    parts = settle(divider, {f"m{i}": 1 for i in range(500, 600)})
    assert sum(parts.values()) == 100 and sum(parts[f"m{i}"] for i in range(500, 600)) == 100
    other = Divider({"b": Budget(HELD, 100, linger_us=S)})
    other.load(divider.dump(), 0)
    assert other.books["b"].charged(0) == 100 and len(other.members) == 1000
    other.left("m550", 0)
    other.join("new")
    other.report("new", {"b": (0, 0, 5)}, 0)
    other.divide(50, 0)
    assert other.books["b"].charged(0) <= 100
    assert other.spent_and_idle(0)["b"][:2] == (100, other.books["b"].charged(0))


def test_what_is_kept_back_for_the_alone_is_not_divided_and_a_plan_says_what_would_be_given():
    budget = Budget(HELD, 60, alone=2, members_most=10)
    assert sum(settle(fleet("a", "b", b=budget), {"a": 99}).values()) == 40
    assert plan(budget, {"a": 99, "b": 0}) == {"a": 39, "b": 1}
