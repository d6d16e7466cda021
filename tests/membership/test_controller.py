"""Choice of the endpoint list in force, and notifications of the routing fleet."""

import pytest

from tests.support.statements import make_statement
from wickhinge.membership import stored_list
from wickhinge.membership.controller import MembershipController
from wickhinge.membership.list_exchange import ListAnswer
from wickhinge.membership.port import MembershipSettings
from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import ListSource
from wickhinge.membership.stored_list import StoredList, to_record
from wickhinge.routing.random_source import RandomSource

DAY_S = 86400.0

SETTINGS = MembershipSettings(
    deployment="d",
    router_count=1,
    upper_tier_kinds=("parent", "origin"),
    fallback_delay_s=0.5,
    hint_age_s=DAY_S,
    max_uninformed_copy_age_s=0.0,
    quiet_s=3.0,
    purge_completion_s=6.0,
)


class ControllerHarness:
    """A controller together with its port, which records the calls of the controller."""

    def __init__(self, stored_age_s=10.0, has_stored_list=True, static=()):
        """Start a controller at the time 1000 with a stored list of five endpoints, or with none."""
        self.log, self.listings, self.health_checks, self.purges = [], {}, [], []
        self.controller = MembershipController(self, RandomSource(1), SETTINGS)
        records = [
            to_record(make_statement(endpoint_id, stated_at=1000.0 - (stored_age_s or 0)))
            for endpoint_id in range(1, 6)
        ]
        written_at = 1000.0 - (stored_age_s or 0)
        purges = [PurgeRecord(5, 0, 995.0)]
        self.stored = (
            StoredList("d", written_at, written_at, 7, records, [(9, 5.0)], purges) if has_stored_list else None
        )
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
        """Let all health checks that are due succeed."""
        self.controller.tick(now)
        # First checks are spread over a short time, since other routers may start at the same moment.
        self.controller.tick(now + 0.1)
        for checked in self.health_checks:
            self.controller.record_health_check(checked.endpoint_id, now, healthy=True)
        self.health_checks.clear()

    def logged_sources(self):
        """Return the sources of the lists that were in force, in order."""
        return [fields["source"] for event, fields in self.log if event == "membership_source_changed"]


def make_live_statements(endpoint_ids, now, state="ready"):
    """Return statements of the discovery service about the given endpoints."""
    return [make_statement(endpoint_id, state, now, ListSource.LIVE) for endpoint_id in endpoint_ids]


def test_stored_list_when_the_live_list_is_late_is_used_after_the_fallback_delay():
    harness = ControllerHarness()
    harness.controller.tick(1000.4)
    assert not harness.health_checks and harness.logged_sources() == [] and harness.purges == [(5, 0, 995.0)]
    harness.pass_health_checks(1000.6)
    assert harness.logged_sources() == ["remembered"] and harness.listings
    for listings in harness.listings.values():
        # The first listing is untrusted, so that the endpoint gets a slow start.
        assert listings == [("ready", False), ("ready", True)]


def test_stored_list_when_the_live_list_is_in_time_is_not_used():
    harness = ControllerHarness()
    harness.controller.apply_live(make_live_statements([1, 2], 1000.2), 1000.2, is_complete=True)
    harness.controller.tick(1002.0)
    assert harness.logged_sources() == ["live"] and not harness.health_checks and not harness.listings


@pytest.mark.parametrize(
    "static, source", [((make_statement(1, stated_at=0.0, source=ListSource.STATIC),), "static"), ((), None)]
)
def test_fallback_when_no_list_is_stored_uses_the_static_list_if_there_is_one(static, source):
    harness = ControllerHarness(has_stored_list=False, static=static)
    harness.pass_health_checks(1001.0)
    assert harness.logged_sources() == ([source] if source else [])


@pytest.mark.parametrize(
    "changed_fields, required_successes",
    [
        ({"deployment": "other"}, None),
        ({"last_update_at": 5000.0}, 3),
        ({"written_at": 5000.0}, 3),
        ({"last_update_at": 0.0}, 3),
    ],
)
def test_stored_list_when_of_another_deployment_is_unused_and_when_of_unknown_age_is_a_hint(
    changed_fields, required_successes
):
    harness = ControllerHarness(has_stored_list=False)
    records = [to_record(make_statement(1))]
    harness.controller.start(
        StoredList(
            **{
                "deployment": "d",
                "written_at": 990.0,
                "last_update_at": 990.0,
                "last_event": 1,
                "endpoints": records,
                **changed_fields,
            }
        ),
        [],
        1000.0,
    )
    harness.controller.tick(1001.0)
    assert harness.logged_sources() == ([] if required_successes is None else ["remembered"])
    assert required_successes is None or harness.controller.probation.policy.required_successes == required_successes


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_list_answer_when_it_states_an_endpoint_as_draining_or_gone_is_applied_at_once(state):
    harness = ControllerHarness()
    harness.pass_health_checks(1000.6)
    records = [to_record(make_statement(1, "draining", stated_at=2.0))] if state == "draining" else []
    answer = ListAnswer("d", 5000.0, 3, records, [1] if state == "gone" else [], [PurgeRecord(8, 0, 999.0)])
    assert harness.controller.apply_list_answer(answer, 1001.0)
    assert harness.listings[1][-1] == (state, False) and (8, 0, 999.0) in harness.purges
    harness.pass_health_checks(1002.0)
    assert harness.listings[1][-1] == (state, False)


def test_list_answer_when_older_than_the_stored_list_or_of_another_deployment_adds_no_endpoint():
    harness = ControllerHarness(stored_age_s=10.0)
    harness.pass_health_checks(1000.6)
    records = [to_record(make_statement(endpoint_id, stated_at=50.0)) for endpoint_id in (1, 77)]
    assert harness.controller.apply_list_answer(ListAnswer("d", 5000.0, 3, records), 1001.0)
    assert 77 not in harness.controller.statements.endpoints and harness.logged_sources() == ["remembered"]
    assert not harness.controller.apply_list_answer(ListAnswer("x", 1.0, 3, records), 1001.0)
    assert harness.controller.apply_list_answer(ListAnswer("d", 2.0, 3, records), 1001.0)
    assert 77 in harness.controller.statements.endpoints and harness.logged_sources() == ["remembered", "sibling"]


def test_live_list_when_it_arrives_during_probation_ends_the_probation():
    harness = ControllerHarness()
    harness.controller.tick(1000.6)
    checks = list(harness.health_checks)
    harness.controller.apply_live(make_live_statements([2, 3, 50], 1000.7), 1000.7, is_complete=True)
    for checked in checks:  # Results of the health checks that were in progress.
        harness.controller.record_health_check(checked.endpoint_id, 1000.8, healthy=True)
        harness.controller.record_request(checked.endpoint_id, 1000.8, answered=False)
    assert (
        not harness.listings
        and set(harness.controller.statements.endpoints) == {2, 3, 50}
        and 1 in harness.controller.statements.gone_times
    )
    harness.controller.tick(1001.0)
    assert harness.logged_sources() == ["remembered", "live"] and len(harness.health_checks) == len(checks)


def test_live_list_when_the_discovery_service_sends_it_again_and_again_changes_the_source_once():
    harness = ControllerHarness()
    harness.pass_health_checks(1000.6)
    for repetition in range(20):
        now = 1001.0 + repetition / 10
        harness.controller.apply_live(make_live_statements([1, 2, 3], now), now, is_complete=True)
        harness.controller.handle_live_caught_up(now, 4, is_continuous=False)
        harness.controller.tick(now + 0.05)
    assert harness.logged_sources() == ["remembered", "live"] and len(harness.log) <= 2 + 5 + 1


def test_stored_list_when_the_discovery_service_resumes_after_it_becomes_the_live_list():
    harness = ControllerHarness()
    harness.controller.apply_live(make_live_statements([2], 1000.1, "draining"), 1000.1, is_complete=False)
    assert harness.controller.max_copy_age_s(1000.1) is not None
    harness.controller.handle_live_caught_up(1000.2, 8, is_continuous=True)
    assert harness.logged_sources() == ["live"] and harness.controller.max_copy_age_s(1000.2) is None
    assert harness.listings[1] == [("ready", True)] and harness.listings[2] == [("draining", True)]


def test_snapshot_when_encoded_and_decoded_is_the_same():
    harness = ControllerHarness(has_stored_list=False)
    assert harness.controller.snapshot(1000.0, (0.0, 0.0)) is None
    harness.controller.apply_live(make_live_statements([1, 2], 1000.0), 1000.0, is_complete=True)
    harness.controller.handle_live_caught_up(1000.1, 9, is_continuous=False)
    harness.controller.record_purge(PurgeRecord(7, 0, 999.0), 1000.2)
    harness.controller.record_purge(PurgeRecord(8, 0, 900.0), 1000.2)
    stored = harness.controller.snapshot(1001.0, (0.0, 0.0))
    _, decoded = stored_list.decode(stored_list.encode(stored, 4))
    assert (
        decoded == stored
        and decoded.purges == [(7, 0, 999.0)]
        and (decoded.last_event, decoded.last_update_at) == (9, 1000.1)
    )
