"""A router that follows the change log on real processes, while its relays or the links to them fail."""

import os
import signal
import threading
import time

import pytest

from tests.support.changelog_fleet import (
    BOUND_S,
    MAX_COPY_AGE_S,
    RELAYS,
    REPLICAS,
    ROUTER,
    cut_links,
    eventually,
    lines_until,
    restore_links,
    running_fleet,
    seconds_until_uninformed,
)
from tests.support.processes import TIMEOUT_S
from wickhinge.changelog.entries import Purge
from wickhinge.cli.changelog_client import Client
from wickhinge.options import load


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        yield fleet


def test_purge_when_appended_limits_the_age_in_the_next_request(fleet):
    assert fleet.next_request_max_age_s(0xA1) is None
    started_at = time.time()
    answer = fleet.append_purge(0xA1)
    max_age_s = fleet.next_request_max_age_s(0xA1)
    assert 0 < max_age_s <= time.time() - answer.stamp_ms / 1000
    assert answer.stamp_ms / 1000 >= started_at - 0.001
    assert fleet.next_request_max_age_s(0xA2) is None


def test_router_when_all_links_are_cut_limits_all_ages_within_the_bound(fleet):
    duration_s = seconds_until_uninformed(fleet, lambda: cut_links(fleet, ROUTER, RELAYS))
    assert duration_s <= BOUND_S + 0.1
    assert 0 < fleet.next_request_max_age_s(0xB1) <= MAX_COPY_AGE_S
    restore_links(fleet)
    assert fleet.next_request_max_age_s(0xB1) is None


def test_router_when_only_inward_links_are_cut_is_uninformed_within_the_bound(fleet):
    assert seconds_until_uninformed(fleet, lambda: cut_links(fleet, ROUTER, RELAYS, outward=False)) <= BOUND_S + 0.1
    restore_links(fleet)


def test_router_when_only_outward_links_are_cut_stays_informed_while_subscribed(fleet):
    """Relays continue to echo the router's last token with a growing delay until the subscription expires."""
    cut_links(fleet, ROUTER, RELAYS, inward=False)
    fleet.client.append(Purge(0xB2, 0, 0), TIMEOUT_S)
    fleet.router_harness.router.wait('"key":"00000000000000b2"')
    assert fleet.next_request_max_age_s(0xB2) > 0 and fleet.next_request_max_age_s(0xB3) is None
    fleet.hub.cut_pairs.clear()


def test_relay_when_killed_is_replaced_and_ages_stay_unlimited(fleet):
    """Switching to the other relay takes less than the bound, so the router stays informed meanwhile."""
    followed = eventually(fleet.router_row).relay
    fleet.kill(followed)
    other = next(relay for relay in RELAYS if relay != followed)
    assert other in fleet.wait_for_event("source")
    fleet.append_purge(0xC1)
    assert fleet.next_request_max_age_s(0xC1) > 0 and fleet.next_request_max_age_s(0xC2) is None
    fleet.start(followed).wait('"epoch":1')


def test_relay_when_suspended_is_replaced(fleet):
    followed = eventually(fleet.router_row).relay
    fleet.pause(followed)
    try:
        assert f'"{followed}"' not in fleet.wait_for_event("source")
        fleet.append_purge(0xC3)
        assert fleet.next_request_max_age_s(0xC3) > 0
    finally:
        fleet.resume(followed)
    eventually(lambda: all(server.status for server in fleet.query_servers()))


def test_router_when_it_was_suspended_is_not_informed_by_unread_datagrams(fleet):
    """Datagrams that arrived while the router was suspended echo old tokens, so they cannot make it informed."""
    eventually(lambda: fleet.next_request_max_age_s(0xC4) is None)  # Only an informed router can become uninformed.
    child = fleet.router_harness.router.child
    child.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, child.pid, os.WSTOPPED | os.WNOWAIT)
    forwarded_count = fleet.hub.forwarded_counts[ROUTER]
    eventually(lambda: fleet.hub.forwarded_counts[ROUTER] >= forwarded_count + 2)
    cut_links(fleet, ROUTER, RELAYS)
    threading.Event().wait(BOUND_S + 0.1)  # Afterwards the tokens of the unread datagrams are older than the bound.
    child.send_signal(signal.SIGCONT)
    fleet.wait_for_event("uninformed")
    assert 0 < fleet.next_request_max_age_s(0xC5) <= MAX_COPY_AGE_S
    restore_links(fleet)


def test_keys_when_changed_in_one_process_after_the_other_keep_the_router_informed(fleet):
    (fleet.folder / "next-key").write_text("the next key of this test's fleet")

    def reload_all(first, also):
        for name in [*REPLICAS, *RELAYS, ROUTER]:
            fleet.write_key_options(name, first, also)
            process = fleet.router_harness.router if name == ROUTER else fleet.processes[name]
            process.child.send_signal(signal.SIGHUP)
            process.wait('"event":"changelog_reload"')

    reload_all("key", "next-key")
    reload_all("next-key", "key")
    reload_all("next-key", "")
    fleet.write_key_options("operator", "next-key", "")
    fleet.client = Client(load(str(fleet.operator)).changelog)
    fleet.client.append(Purge(0xC6, 0, 0), TIMEOUT_S)
    between = lines_until(fleet.router_harness.router, '"key":"00000000000000c6"')
    assert not [line for line in between if "changelog_uninformed" in line]
