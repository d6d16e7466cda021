"""Which list is in force, and what the routing fleet is notified of."""

import pytest

from tests.support.statements import statement
from wickhinge.membership import stored_list
from wickhinge.membership.controller import MembershipController
from wickhinge.membership.list_exchange import ListAnswer
from wickhinge.membership.port import MembershipSettings
from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import (
    ListSource,
)
from wickhinge.membership.stored_list import StoredList, to_record
from wickhinge.routing.random_source import RandomSource

DAY = 86400.0


SETTINGS = MembershipSettings(
    deployment="d",
    router_count=1,
    upper_tier_kinds=("parent", "origin"),
    fallback_delay_s=0.5,
    hint_age_s=DAY,
    max_uninformed_copy_age_s=0.0,
    quiet_s=3.0,
    purge_completion_s=6.0,
)


class World:
    """A controller and its port, which writes down what it is asked for."""

    def __init__(self, age=10.0, memory=True, static=()):
        self.log, self.listings, self.health_checks, self.purges = [], {}, [], []
        self.controller = MembershipController(self, RandomSource(1), SETTINGS)
        rows = [to_record(statement(mark, when=1000.0 - (age or 0))) for mark in range(1, 6)]
        since = 1000.0 - (age or 0)
        purges = [PurgeRecord(5, 0, 995.0)]
        self.stored = StoredList("d", since, since, 7, rows, [(9, 5.0)], purges) if memory else None
        self.controller.start(self.stored, list(static), 1000.0)

    def apply_listings(self, listings):
        for listing in listings:
            self.listings.setdefault(listing.statement.endpoint_id, []).append((listing.state, listing.is_trusted))

    def check_health(self, statement):
        self.health_checks.append(statement)

    def apply_purge(self, purge):
        self.purges.append(purge)

    def log_event(self, event, /, **fields):
        self.log.append((event, fields))

    def pass_health_checks(self, now):
        self.controller.tick(now)
        self.controller.tick(now + 0.1)  # none is checked in the first moment: other routers may start with this one
        for checked in self.health_checks:
            self.controller.record_health_check(checked.endpoint_id, now, healthy=True)
        self.health_checks.clear()

    def sources(self):
        return [fields["source"] for event, fields in self.log if event == "membership_source_changed"]


def live(marks, now, state="ready"):
    return [statement(mark, state, now, ListSource.LIVE) for mark in marks]


def test_stored_list_when_the_live_one_is_late_is_used_after_the_wait():
    world = World()
    world.controller.tick(1000.4)
    assert not world.health_checks and world.sources() == [] and world.purges == [(5, 0, 995.0)]
    world.pass_health_checks(1000.6)
    assert world.sources() == ["remembered"] and world.listings
    for listings in world.listings.values():
        assert listings == [("ready", False), ("ready", True)]  # it begins as one that may be warming up


def test_stored_list_when_the_live_one_is_in_time_is_not_used():
    world = World()
    world.controller.apply_live(live([1, 2], 1000.2), 1000.2, is_complete=True)
    world.controller.tick(1002.0)
    assert world.sources() == ["live"] and not world.health_checks and not world.listings


@pytest.mark.parametrize(
    "static, source", [((statement(1, when=0.0, source=ListSource.STATIC),), "static"), ((), None)]
)
def test_fallback_when_nothing_is_stored_takes_the_static_list_or_none(static, source):
    world = World(memory=False, static=static)
    world.pass_health_checks(1001.0)
    assert world.sources() == ([source] if source else [])


@pytest.mark.parametrize(
    "change, proofs",
    [
        ({"deployment": "other"}, None),
        ({"last_update_at": 5000.0}, 3),
        ({"written_at": 5000.0}, 3),
        ({"last_update_at": 0.0}, 3),
    ],
)
def test_stored_list_when_of_another_deployment_or_time_is_unused_or_a_hint(change, proofs):
    world = World(memory=False)
    rows = [to_record(statement(1))]
    world.controller.start(
        StoredList(
            **{
                "deployment": "d",
                "written_at": 990.0,
                "last_update_at": 990.0,
                "last_event": 1,
                "endpoints": rows,
                **change,
            }
        ),
        [],
        1000.0,
    )
    world.controller.tick(1001.0)
    assert world.sources() == ([] if proofs is None else ["remembered"])
    assert proofs is None or world.controller.probation.policy.required_successes == proofs


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_replica_answer_when_it_says_that_an_endpoint_leaves_counts_at_once(state):
    world = World()
    world.pass_health_checks(1000.6)
    rows = [to_record(statement(1, "draining", when=2.0))] if state == "draining" else []
    answer = ListAnswer("d", 5000.0, 3, rows, [1] if state == "gone" else [], [PurgeRecord(8, 0, 999.0)])
    assert world.controller.apply_list_answer(answer, 1001.0)
    assert world.listings[1][-1] == (state, False) and (8, 0, 999.0) in world.purges
    world.pass_health_checks(1002.0)
    assert world.listings[1][-1] == (state, False)


def test_replica_answer_when_older_or_of_another_deployment_adds_nothing():
    world = World(age=10.0)
    world.pass_health_checks(1000.6)
    rows = [to_record(statement(mark, when=50.0)) for mark in (1, 77)]
    assert world.controller.apply_list_answer(ListAnswer("d", 5000.0, 3, rows), 1001.0)
    assert 77 not in world.controller.statements.endpoints and world.sources() == ["remembered"]
    assert not world.controller.apply_list_answer(ListAnswer("x", 1.0, 3, rows), 1001.0)
    assert world.controller.apply_list_answer(ListAnswer("d", 2.0, 3, rows), 1001.0)
    assert 77 in world.controller.statements.endpoints and world.sources() == ["remembered", "sibling"]


def test_live_list_when_it_comes_during_probation_ends_it():
    world = World()
    world.controller.tick(1000.6)
    checks = list(world.health_checks)
    world.controller.apply_live(live([2, 3, 50], 1000.7), 1000.7, is_complete=True)
    for checked in checks:  # answers of health checks that were under way
        world.controller.record_health_check(checked.endpoint_id, 1000.8, healthy=True)
        world.controller.record_request(checked.endpoint_id, 1000.8, answered=False)
    assert (
        not world.listings
        and set(world.controller.statements.endpoints) == {2, 3, 50}
        and 1 in world.controller.statements.gone
    )
    world.controller.tick(1001.0)
    assert world.sources() == ["remembered", "live"] and len(world.health_checks) == len(checks)


def test_live_list_when_the_service_flaps_changes_the_source_once():
    world = World()
    world.pass_health_checks(1000.6)
    for turn in range(20):
        now = 1001.0 + turn / 10
        world.controller.apply_live(live([1, 2, 3], now), now, is_complete=True)
        world.controller.handle_live_caught_up(now, 4, is_continuous=False)
        world.controller.tick(now + 0.05)
    assert world.sources() == ["remembered", "live"] and len(world.log) <= 2 + 5 + 1


def test_stored_list_when_the_service_goes_on_from_it_becomes_the_live_one():
    world = World()
    world.controller.apply_live(live([2], 1000.1, "draining"), 1000.1, is_complete=False)
    assert world.controller.max_copy_age_s(1000.1) is not None
    world.controller.handle_live_caught_up(1000.2, 8, is_continuous=True)
    assert world.sources() == ["live"] and world.controller.max_copy_age_s(1000.2) is None
    assert world.listings[1] == [("ready", True)] and world.listings[2] == [("draining", True)]


def test_snapshot_when_it_is_decoded_again_is_the_same():
    world = World(memory=False)
    assert world.controller.snapshot(1000.0, (0.0, 0.0)) is None
    world.controller.apply_live(live([1, 2], 1000.0), 1000.0, is_complete=True)
    world.controller.handle_live_caught_up(1000.1, 9, is_continuous=False)
    world.controller.record_purge(PurgeRecord(7, 0, 999.0), 1000.2)
    world.controller.record_purge(PurgeRecord(8, 0, 900.0), 1000.2)
    stored = world.controller.snapshot(1001.0, (0.0, 0.0))
    _, decoded = stored_list.decode(stored_list.encode(stored, 4))
    assert (
        decoded == stored
        and decoded.purges == [(7, 0, 999.0)]
        and (decoded.last_event, decoded.last_update_at) == (9, 1000.1)
    )
