"""Budgets that all routers share: bucket, leases, loans, and whole fleets under drawn schedules."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickhinge.lab.many import judges, play, schedule, trial
from wickhinge.lab.many.schedule import Fault, Schedule
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.identity import NameAnswer
from wickhinge.peers.messages import MemberState
from wickhinge.peers.roster import Roster, RosterEntry
from wickhinge.routing.random_source import RandomSource
from wickhinge.shared import lending_payload
from wickhinge.shared.lending_payload import LendingMessage
from wickhinge.shared.name_lease import MAX_CLOCK_DRIFT, NameLeases, lease_term_s
from wickhinge.shared.quota_bucket import Quota, QuotaBucket
from wickhinge.shared.quota_loans import LOAN_S, BorrowerKey, Loans

# The bucket: its formula, by any order of shares and wishes.


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**6), st.integers(1, 6), st.floats(1.0, 4.0))
def test_buckets_when_shares_move_never_spend_more_than_the_budget(seed, count, window):
    rand, most, unit = random.Random(seed), 60.0, 1.0
    rates = [1.0 + rand.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) for _ in range(count)]
    buckets = [QuotaBucket(Quota(most, window, unit), count, 0.1, 0.0) for _ in range(count)]
    shares, now, spent = [1.0 / count] * count, 0.0, []
    for _ in range(600):
        now += rand.expovariate(40.0)
        if rand.random() < 0.1:  # a part moves: gone there before it is had here
            one, other = rand.randrange(count), rand.randrange(count)
            part = shares[one] * rand.random()
            shares[one] -= part
            buckets[one].set_share(shares[one], now * rates[one])
            shares[other] += part
        place = rand.randrange(count)
        buckets[place].set_share(shares[place], now * rates[place])
        while buckets[place].take(unit, now * rates[place]):
            spent.append((now, "", unit))
    assert judges.peak(spent, most, window) <= 1.0 if spent else True


def test_bucket_when_its_budget_is_too_small_or_lowered_spends_nothing():
    bucket = QuotaBucket(Quota(5.0, 1.0, 1.0), 6, 0.1, 0.0)
    bucket.set_share(1.0, 0.0)
    assert not bucket.take(1.0, 100.0) and bucket.wait_time(1.0) == float("inf")
    bucket.set_amount(100.0, 100.0)
    assert not bucket.take(1.0, 100.0)
    assert 0.0 < bucket.wait_time(1.0) < 0.1 and bucket.take(1.0, 101.0)
    bucket.set_amount(0.0, 101.0)
    assert not bucket.take(0.001, 200.0)


def test_bucket_when_new_is_empty():
    bucket = QuotaBucket(Quota(100.0, 1.0, 1.0), 1, 0.1, 50.0)
    bucket.set_share(1.0, 50.0)
    assert not bucket.take(0.5, 50.0)


# NameLeases: two lives of a name and what voters forgot, delayed and doubled.


def both_hold_the_lease(seed, count, forgetful=False):
    """Whether both of two lives of a name ever hold a majority. Each of the others grants to whichever asks it; clocks
    differ, grants arrive late, voters restart and remember nothing.
    """
    rand = random.Random(seed)
    others = [SimpleNamespace(rate=1.0 + rand.uniform(-0.05, 0.05), born=-1e3) for _ in range(count - 1)]
    lives = [SimpleNamespace(rate=1.0 + rand.uniform(-0.05, 0.05), ahead=rand.uniform(0, 1e5)) for _ in range(2)]
    for voter in others:
        voter.vouch = NameLeases(count, 0.0)
    for one in lives:
        one.vouch = NameLeases(count, 0.0)
    on_way, now, long = [], 0.0, lease_term_s(count)
    for _ in range(900):
        now += rand.expovariate(12.0)
        for word in [word for word in on_way if word[0] <= now]:
            _, one, place, asked = word
            one.vouch.receive(f"n{place}", asked, one.ahead + now * one.rate)
            on_way.remove(word)
        number = rand.randrange(2)
        if rand.random() < 0.7 and int(now / long) % 3 != number + 1:  # heard in turns, and at times both
            place, one = rand.randrange(count - 1), lives[number]
            voter, asked = others[place], one.ahead + now * one.rate
            if voter.vouch.grant("x", number + 1, (now - voter.born) * voter.rate):
                on_way.append((now + rand.choice((0.0, 0.01, 2.0, long)), one, place, asked))
        if rand.random() < 0.004:
            voter = rand.choice(others)
            voter.born, voter.vouch = now, NameLeases(count, -1e3 if forgetful else 0.0)
        if all(one.vouch.held_until(one.ahead + now * one.rate) > one.ahead + now * one.rate for one in lives):
            return True
    return False


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 10**6), st.integers(2, 7))
def test_lease_when_two_incarnations_ask_is_held_by_one_at_most(seed, count):
    assert not both_hold_the_lease(seed, count)


def test_check_when_granters_do_not_wait_after_a_restart_fails():
    assert any(both_hold_the_lease(seed, 4, forgetful=True) for seed in range(60))


def test_lease_when_alone_is_held_and_of_two_needs_the_others_grant():
    assert NameLeases(1, 0.0).held_until(5.0) > 5.0
    two = NameLeases(2, 0.0)
    assert two.held_until(5.0) == 0.0
    two.receive("n1", 5.0, 5.1)
    assert two.held_until(5.1) == pytest.approx(5.0 + lease_term_s(2) * (1 - MAX_CLOCK_DRIFT))
    assert not two.grant("n1", 9, 1.0) and two.grant("n1", 9, 1.0 + 2 * lease_term_s(2))
    two.clear_received()
    assert two.held_until(5.1) == 0.0


# Loans.


def test_loan_when_it_ends_ends_at_the_borrower_first():
    lender, borrower = Loans(), Loans()
    serial = borrower.request("n0", 0.2, 100.0)
    assert (
        lender.lend(BorrowerKey("n1", 7, serial), 0.2, 0.0) == 0.2
        and lender.lend(BorrowerKey("n1", 7, serial), 0.2, 0.0) == 0.0
    )
    assert not borrower.receive("n2", serial, 0.2, 100.1)
    assert borrower.receive("n0", serial, 0.2, 100.1) and not borrower.receive("n0", serial, 0.2, 100.1)
    assert borrower.total_borrowed(100.0 + LOAN_S * (1 - MAX_CLOCK_DRIFT) - 0.3) == 0.2
    assert borrower.total_borrowed(100.0 + LOAN_S * (1 - MAX_CLOCK_DRIFT)) == 0.0
    assert lender.total_lent(LOAN_S) == 0.2 and lender.total_lent(LOAN_S * (1 + MAX_CLOCK_DRIFT) + 0.01) == 0.0
    late = borrower.request("n0", 0.2, 200.0)
    assert not borrower.receive("n0", late, 0.2, 200.0 + LOAN_S)


def test_loan_when_needed_is_renewed_and_when_not_is_given_back():
    lender, borrower = Loans(), Loans()
    serial = borrower.request("n0", 0.2, 0.0)
    lender.lend(BorrowerKey("n1", 7, serial), 0.2, 0.0)
    borrower.receive("n0", serial, 0.2, 0.0)
    assert borrower.renewals(0.5, 4) == []
    assert borrower.renewals(2.0, 4) == [("n0", serial, 0.2)] and borrower.renewals(2.0, 4) == []
    assert lender.renew(BorrowerKey("n1", 7, serial), 2.0) == 0.2 and borrower.receive("n0", serial, 0.2, 2.1)
    assert borrower.total_borrowed(4.0) == 0.2 and lender.total_lent(4.5) == 0.2
    assert lender.renew(BorrowerKey("n1", 8, serial), 2.0) == 0.0
    assert borrower.give_back(0.1) == [] and borrower.give_back(0.25) == [("n0", serial)]
    assert (
        lender.take_back(BorrowerKey("n1", 7, serial))
        and not lender.take_back(BorrowerKey("n1", 7, serial))
        and lender.total_lent(4.5) == 0.0
    )


GOOD = ((5, 7), 1.5, 0.0, False, [(0.1, 0.2)], [(0, 1, 0.1)], [], [(0, 3)])


@pytest.mark.parametrize(
    "place, value",
    [
        (0, (5, "x")),
        (1, float("nan")),
        (4, [(2.0, 0.1)]),
        (4, [(0.1, 0.1)] * 9),
        (5, [(0, 1, float("inf"))]),
        (5, [(8, 1, 0.1)]),
        (6, [(0, 1, -0.1)]),
        (7, [(-1, 1)]),
        (7, [(0, 1)] * 9),
    ],
)
def test_payload_when_malformed_is_refused(place, value):
    assert lending_payload.decode(lending_payload.encoder.encode(GOOD)) == LendingMessage(*GOOD)
    with pytest.raises(lending_payload.DatagramError):
        lending_payload.decode(lending_payload.encoder.encode((*GOOD[:place], value, *GOOD[place + 1 :])))
    with pytest.raises(lending_payload.DatagramError):
        lending_payload.decode(lending_payload.encoder.encode(GOOD)[:-1])


# Whole fleets.


@pytest.mark.parametrize("seed", range(100, 118))
def test_fleet_when_faults_are_drawn_never_overspends(seed):
    drawn = schedule.draw(seed)
    played = play.play(drawn)
    assert judges.budgets(played.spent, play.BUDGETS) == [], schedule.text(drawn)
    assert judges.all_of(played.history, drawn) == [], schedule.text(drawn)


FOUND = {
    "a loan to one of two processes of a name was used by both": Schedule(
        1015,
        2,
        1,
        (
            Fault("twin", 13.519, 12.0, (1,)),
            Fault("lie", 14.517, 2.5, (0,)),
            Fault("jump", 20.698, 0.625, (0,), (), 3600.0),
        ),
        3,
        25.519,
        14.0,
    ),
    "alone on a roster two processes each held all": Schedule(
        1019, 1, 1, (Fault("twin", 7.712, 0.5, (0,)),), 2, 8.212, 13.0
    ),
    "a name whose count was invented by three liars stayed gone for good": Schedule(
        30484,
        9,
        2,
        (
            Fault("loss", 4.447, 12.0, (1, 3), (), 0.275),
            Fault("double", 5.063, 12.0, (0,), (), 0.715),
            Fault("lie", 6.547, 12.0, (3, 4, 7)),
            Fault("twin", 11.582, 1.0, (3,)),
            Fault("kill", 15.01, 5.0, (2,)),
        ),
        10,
        20.01,
        21.0,
    ),
}


@pytest.mark.parametrize("what", FOUND)
def test_fleet_when_a_found_schedule_is_replayed_has_no_faults(what):
    assert trial.virtual(FOUND[what]).faults == []


def test_identity_when_an_asked_name_left_asks_it_no_more():
    detector = FailureDetector(
        Roster([RosterEntry(f"n{one}", ("127.0.0.1", one + 1), "") for one in range(3)], "n0"),
        RandomSource(1),
        0.0,
        lambda item: None,
    )
    detector.identity.answers["n1"] = detector.identity.answers["n2"] = NameAnswer(1, 5, MemberState.ALIVE, 0.0)
    detector.reload(Roster([RosterEntry(f"n{one}", ("127.0.0.1", one + 1), "") for one in (0, 2)], "n0"), 0.1)
    for turn in range(60):
        detector.tick(0.2 + turn * 0.1)
    assert set(detector.identity.answers) <= {"n2"}


def used_share(routers, wants, plants=()):
    fleet = play.Fleet(Schedule(5, routers, 1, (), routers, 20.0, 5.0), plants)
    fleet.wants = wants
    fleet.run()
    most, window, _ = play.BUDGETS[0]
    return sum(amount for when, _, amount in fleet.spent[0] if when > 12.0) / (most / window * 13.0)


def test_budget_when_one_router_has_the_demand_goes_there():
    one = used_share(5, lambda process, number: 2.0 * (process.place == 0))
    assert one > 0.8 and used_share(5, lambda process, number: 2.0) > 0.8
    assert used_share(5, lambda process, number: 2.0 * (process.place == 0), (keeps_to_itself,)) < 0.25 * one


def test_router_when_cut_off_spends_only_its_floor_after_its_term():
    fleet = play.Fleet(Schedule(5, 4, 1, (Fault("cut", 10.0, 40.0, (0,), (1, 2, 3)),), 4, 50.0, 1.0))
    fleet.wants = lambda process, number: 2.0
    fleet.run()
    most, window, _ = play.BUDGETS[0]
    mine = [amount for when, name, amount in fleet.spent[0] if name == "n0" and 20.0 < when < 50.0]
    rest = [amount for when, name, amount in fleet.spent[0] if name != "n0" and 20.0 < when < 50.0]
    assert 0.0 < sum(mine) / (most / window * 30.0) < 0.02
    assert sum(rest) / (most / window * 30.0) > 0.6  # its part is not theirs; the others go on


def keeps_to_itself(process):
    process.limiter.balance = lambda number, budget, now: None


def never_ends(process):
    """The plant: a borrower for whom loans have no end."""
    for budget in process.limiter.budgets:
        loans = budget.loans
        loans.receive = lambda lender, serial, amount, now, loans=loans, receive=loans.receive: (
            receive(lender, serial, amount, now) and (setattr(loans.borrowed[serial], "until", 1e18) or True)
        )


def lends_what_it_keeps(process):
    """The plant: what is out is not taken off."""
    for budget in process.limiter.budgets:
        budget.loans.total_lent = lambda now: 0.0


@pytest.mark.parametrize(
    "plant, faults", [(never_ends, (Fault("cut", 14.0, 10.0, (0,), (1, 2, 3)),)), (lends_what_it_keeps, ())]
)
def test_check_when_a_fault_is_planted_fails(plant, faults):
    told = Schedule(5, 4, 1, faults, 6, 26.0, 4.0)

    def play_it(plants):
        fleet = play.Fleet(told, plants)
        # One needs all, then the others do too.
        fleet.wants = lambda process, number: 2.0 * (process.place == 0 or fleet.now > 14.0)
        return judges.budgets(fleet.run().spent, play.BUDGETS)

    assert play_it((plant,)) and play_it(()) == []
