"""Tests of budgets that all routers share: buckets, leases, loans, and whole fleets under random faults."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickhinge.lab.many import invariants, schedule, simulation, trial
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
from wickhinge.shared.quota_loans import LOAN_TERM_S, BorrowerKey, Loans

# Tests of buckets.


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**6), st.integers(1, 6), st.floats(1.0, 4.0))
def test_buckets_when_shares_move_never_spend_more_than_the_budget(seed, count, window_s):
    rand, amount, piece = random.Random(seed), 60.0, 1.0
    rates = [1.0 + rand.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) for _ in range(count)]
    buckets = [QuotaBucket(Quota(amount, window_s, piece), count, 0.1, 0.0) for _ in range(count)]
    shares, now, spent = [1.0 / count] * count, 0.0, []
    for _ in range(600):
        now += rand.expovariate(40.0)
        if rand.random() < 0.1:  # A part of a share moves: the giver loses it before the receiver gets it.
            giver, receiver = rand.randrange(count), rand.randrange(count)
            moved = shares[giver] * rand.random()
            shares[giver] -= moved
            buckets[giver].set_share(shares[giver], now * rates[giver])
            shares[receiver] += moved
        spender = rand.randrange(count)
        buckets[spender].set_share(shares[spender], now * rates[spender])
        while buckets[spender].take(piece, now * rates[spender]):
            spent.append((now, "", piece))
    assert invariants.peak_usage(spent, amount, window_s) <= 1.0 if spent else True


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


# Tests of leases, with two incarnations of a name, granters that restart, and grants that arrive late.


def both_hold_the_lease(seed, count, forgetful=False):
    """Return whether two incarnations of one name ever hold a majority of grants at the same time.

    Each granter grants to whichever incarnation asks it. Clocks differ, grants arrive late, and granters restart
    without their memory. A forgetful granter does not wait a term after a restart.
    """
    rand = random.Random(seed)
    granters = [SimpleNamespace(rate=1.0 + rand.uniform(-0.05, 0.05), started_at=-1e3) for _ in range(count - 1)]
    incarnations = [
        SimpleNamespace(rate=1.0 + rand.uniform(-0.05, 0.05), clock_offset=rand.uniform(0, 1e5)) for _ in range(2)
    ]
    for granter in granters:
        granter.leases = NameLeases(count, 0.0)
    for incarnation in incarnations:
        incarnation.leases = NameLeases(count, 0.0)
    in_transit, now, term_s = [], 0.0, lease_term_s(count)
    for _ in range(900):
        now += rand.expovariate(12.0)
        for arrived in [sent for sent in in_transit if sent[0] <= now]:
            _, incarnation, place, requested_at = arrived
            incarnation.leases.receive(f"n{place}", requested_at, incarnation.clock_offset + now * incarnation.rate)
            in_transit.remove(arrived)
        number = rand.randrange(2)
        # In turns of one term, only the first, only the second, or both of the incarnations can ask.
        if rand.random() < 0.7 and int(now / term_s) % 3 != number + 1:
            place, incarnation = rand.randrange(count - 1), incarnations[number]
            granter, requested_at = granters[place], incarnation.clock_offset + now * incarnation.rate
            if granter.leases.grant("x", number + 1, (now - granter.started_at) * granter.rate):
                in_transit.append((now + rand.choice((0.0, 0.01, 2.0, term_s)), incarnation, place, requested_at))
        if rand.random() < 0.004:
            granter = rand.choice(granters)
            granter.started_at, granter.leases = now, NameLeases(count, -1e3 if forgetful else 0.0)
        if all(
            incarnation.leases.held_until(incarnation.clock_offset + now * incarnation.rate)
            > incarnation.clock_offset + now * incarnation.rate
            for incarnation in incarnations
        ):
            return True
    return False


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 10**6), st.integers(2, 7))
def test_lease_when_two_incarnations_ask_is_held_by_one_at_most(seed, count):
    assert not both_hold_the_lease(seed, count)


def test_lease_check_when_granters_do_not_wait_after_a_restart_finds_two_holders():
    assert any(both_hold_the_lease(seed, 4, forgetful=True) for seed in range(60))


def test_lease_when_alone_is_held_and_of_two_needs_the_others_grant():
    assert NameLeases(1, 0.0).held_until(5.0) > 5.0
    leases = NameLeases(2, 0.0)
    assert leases.held_until(5.0) == 0.0
    leases.receive("n1", 5.0, 5.1)
    assert leases.held_until(5.1) == pytest.approx(5.0 + lease_term_s(2) * (1 - MAX_CLOCK_DRIFT))
    assert not leases.grant("n1", 9, 1.0) and leases.grant("n1", 9, 1.0 + 2 * lease_term_s(2))
    leases.clear_received_grants()
    assert leases.held_until(5.1) == 0.0


# Tests of loans.


def test_loan_when_its_term_ends_ends_at_the_borrower_first():
    lender, borrower = Loans(), Loans()
    serial = borrower.add_request("n0", 0.2, 100.0)
    assert (
        lender.lend(BorrowerKey("n1", 7, serial), 0.2, 0.0) == 0.2
        and lender.lend(BorrowerKey("n1", 7, serial), 0.2, 0.0) == 0.0
    )
    assert not borrower.receive_grant("n2", serial, 0.2, 100.1)
    assert borrower.receive_grant("n0", serial, 0.2, 100.1) and not borrower.receive_grant("n0", serial, 0.2, 100.1)
    assert borrower.total_borrowed(100.0 + LOAN_TERM_S * (1 - MAX_CLOCK_DRIFT) - 0.3) == 0.2
    assert borrower.total_borrowed(100.0 + LOAN_TERM_S * (1 - MAX_CLOCK_DRIFT)) == 0.0
    assert (
        lender.total_lent(LOAN_TERM_S) == 0.2 and lender.total_lent(LOAN_TERM_S * (1 + MAX_CLOCK_DRIFT) + 0.01) == 0.0
    )
    late_serial = borrower.add_request("n0", 0.2, 200.0)
    assert not borrower.receive_grant("n0", late_serial, 0.2, 200.0 + LOAN_TERM_S)


def test_loan_when_needed_is_renewed_and_when_not_needed_is_given_back():
    lender, borrower = Loans(), Loans()
    serial = borrower.add_request("n0", 0.2, 0.0)
    lender.lend(BorrowerKey("n1", 7, serial), 0.2, 0.0)
    borrower.receive_grant("n0", serial, 0.2, 0.0)
    assert borrower.add_renewal_requests(0.5, 4) == []
    assert (
        borrower.add_renewal_requests(2.0, 4) == [("n0", serial, 0.2)] and borrower.add_renewal_requests(2.0, 4) == []
    )
    assert lender.renew(BorrowerKey("n1", 7, serial), 2.0) == 0.2 and borrower.receive_grant("n0", serial, 0.2, 2.1)
    assert borrower.total_borrowed(4.0) == 0.2 and lender.total_lent(4.5) == 0.2
    assert lender.renew(BorrowerKey("n1", 8, serial), 2.0) == 0.0
    assert borrower.give_back(0.1) == [] and borrower.give_back(0.25) == [("n0", serial)]
    assert (
        lender.take_back(BorrowerKey("n1", 7, serial))
        and not lender.take_back(BorrowerKey("n1", 7, serial))
        and lender.total_lent(4.5) == 0.0
    )


VALID_MESSAGE = ((5, 7), 1.5, 0.0, False, [(0.1, 0.2)], [(0, 1, 0.1)], [], [(0, 3)])


@pytest.mark.parametrize(
    "field_index, value",
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
def test_payload_when_malformed_is_refused(field_index, value):
    assert lending_payload.decode(lending_payload.encoder.encode(VALID_MESSAGE)) == LendingMessage(*VALID_MESSAGE)
    with pytest.raises(lending_payload.DatagramError):
        lending_payload.decode(
            lending_payload.encoder.encode((*VALID_MESSAGE[:field_index], value, *VALID_MESSAGE[field_index + 1 :]))
        )
    with pytest.raises(lending_payload.DatagramError):
        lending_payload.decode(lending_payload.encoder.encode(VALID_MESSAGE)[:-1])


# Tests of whole fleets in virtual time.


@pytest.mark.parametrize("seed", range(100, 118))
def test_fleet_when_faults_are_random_never_overspends(seed):
    drawn = schedule.draw(seed)
    played = simulation.simulate(drawn)
    assert invariants.check_budgets(played.spent, simulation.BUDGETS) == [], schedule.encode(drawn)
    assert invariants.check_membership(played.history, drawn) == [], schedule.encode(drawn)


# Schedules that once broke a fleet, by the fault that they showed.
REGRESSION_SCHEDULES = {
    "a loan to one of two processes of a name was used by both processes": Schedule(
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
    "two processes of the only name on a roster each spent the whole budget": Schedule(
        1019, 1, 1, (Fault("twin", 7.712, 0.5, (0,)),), 2, 8.212, 13.0
    ),
    "a name stayed gone after three lying routers spread an invented counter for it": Schedule(
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


@pytest.mark.parametrize("fault", REGRESSION_SCHEDULES)
def test_fleet_when_a_regression_schedule_is_replayed_has_no_faults(fault):
    assert trial.run_simulated(REGRESSION_SCHEDULES[fault]).violations == []


def test_identity_when_a_name_left_the_roster_drops_its_answer():
    detector = FailureDetector(
        Roster([RosterEntry(f"n{place}", ("127.0.0.1", place + 1), "") for place in range(3)], "n0"),
        RandomSource(1),
        0.0,
        lambda item: None,
    )
    detector.identity.name_answers["n1"] = detector.identity.name_answers["n2"] = NameAnswer(
        1, 5, MemberState.ALIVE, 0.0
    )
    detector.reload(Roster([RosterEntry(f"n{place}", ("127.0.0.1", place + 1), "") for place in (0, 2)], "n0"), 0.1)
    for turn in range(60):
        detector.tick(0.2 + turn * 0.1)
    assert set(detector.identity.name_answers) <= {"n2"}


def used_share(routers, wants, plants=()):
    """Return the fraction of the first budget that a fleet spends after 12 s; `wants` gives each router's demand."""
    fleet = simulation.Fleet(Schedule(5, routers, 1, (), routers, 20.0, 5.0), plants)
    fleet.demand = wants
    fleet.run()
    budget_amount, window_s, _ = simulation.BUDGETS[0]
    return sum(amount for when, _, amount in fleet.spent[0] if when > 12.0) / (budget_amount / window_s * 13.0)


def test_budget_when_one_router_has_the_demand_is_lent_to_it():
    used_by_one = used_share(5, lambda process, number: 2.0 * (process.router_index == 0))
    assert used_by_one > 0.8 and used_share(5, lambda process, number: 2.0) > 0.8
    assert (
        used_share(5, lambda process, number: 2.0 * (process.router_index == 0), (disable_balancing,))
        < 0.25 * used_by_one
    )


def test_router_when_cut_off_spends_only_its_floor_after_its_lease_ends():
    fleet = simulation.Fleet(Schedule(5, 4, 1, (Fault("cut", 10.0, 40.0, (0,), (1, 2, 3)),), 4, 50.0, 1.0))
    fleet.demand = lambda process, number: 2.0
    fleet.run()
    budget_amount, window_s, _ = simulation.BUDGETS[0]
    cut_off = [amount for when, name, amount in fleet.spent[0] if name == "n0" and 20.0 < when < 50.0]
    connected = [amount for when, name, amount in fleet.spent[0] if name != "n0" and 20.0 < when < 50.0]
    assert 0.0 < sum(cut_off) / (budget_amount / window_s * 30.0) < 0.02
    # The other routers cannot use the share of the router that is cut off, but go on with their own.
    assert sum(connected) / (budget_amount / window_s * 30.0) > 0.6


def disable_balancing(process):
    """Plant a fault: the router neither borrows nor offers."""
    process.limiter.balance = lambda budget_index, budget, now: None


def keep_loans_forever(process):
    """Plant a fault: borrowed loans never end at the borrower."""
    for budget in process.limiter.budgets:
        loans = budget.loans
        loans.receive_grant = lambda lender, serial, amount, now, loans=loans, receive_grant=loans.receive_grant: (
            receive_grant(lender, serial, amount, now)
            and (setattr(loans.borrowed_quotas[serial], "ends_at", 1e18) or True)
        )


def spend_lent_quota(process):
    """Plant a fault: the lender does not subtract lent amounts from its share."""
    for budget in process.limiter.budgets:
        budget.loans.total_lent = lambda now: 0.0


@pytest.mark.parametrize(
    "plant, faults",
    [(keep_loans_forever, (Fault("cut", 14.0, 10.0, (0,), (1, 2, 3)),)), (spend_lent_quota, ())],
)
def test_budget_check_when_a_fault_is_planted_finds_overspending(plant, faults):
    schedule_with_faults = Schedule(5, 4, 1, faults, 6, 26.0, 4.0)

    def overspent_budgets(plants):
        fleet = simulation.Fleet(schedule_with_faults, plants)
        # One router has all the demand for 14 s; then every router has it.
        fleet.demand = lambda process, number: 2.0 * (process.router_index == 0 or fleet.now > 14.0)
        return invariants.check_budgets(fleet.run().spent, simulation.BUDGETS)

    assert overspent_budgets((plant,)) and overspent_budgets(()) == []
