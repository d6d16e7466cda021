"""The change log on real processes: what a router knows, whatever happens to its relays and its ways to them."""

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
from tests.support.processes import PATIENT
from wickhinge.changelog.entries import Purge
from wickhinge.cli.changelog_client import Client
from wickhinge.options import load


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory.mktemp("fleet")) as made:
        yield made


def test_purge_when_appended_limits_the_age_in_the_next_request(fleet):
    assert fleet.next_request_max_age_s(0xA1) is None
    began = time.time()
    answer = fleet.append_purge(0xA1)
    allowed = fleet.next_request_max_age_s(0xA1)
    assert 0 < allowed <= time.time() - answer.stamp_ms / 1000
    assert answer.stamp_ms / 1000 >= began - 0.001
    assert fleet.next_request_max_age_s(0xA2) is None


def test_router_when_cut_off_limits_all_ages_within_the_bound(fleet):
    took = seconds_until_uninformed(fleet, lambda: cut_links(fleet, ROUTER, RELAYS))
    assert took <= BOUND_S + 0.1
    assert 0 < fleet.next_request_max_age_s(0xB1) <= MAX_COPY_AGE_S
    restore_links(fleet)
    assert fleet.next_request_max_age_s(0xB1) is None


def test_router_when_cut_inward_only_is_uninformed_within_the_bound(fleet):
    assert seconds_until_uninformed(fleet, lambda: cut_links(fleet, ROUTER, RELAYS, outward=False)) <= BOUND_S + 0.1
    restore_links(fleet)


def test_router_when_cut_outward_only_stays_informed_while_subscribed(fleet):
    """The relays go on to echo its last token with the time that they have held it."""
    cut_links(fleet, ROUTER, RELAYS, inward=False)
    fleet.client.append(Purge(0xB2, 0, 0), PATIENT)
    fleet.router_harness.router.wait('"key":"00000000000000b2"')
    assert fleet.next_request_max_age_s(0xB2) > 0 and fleet.next_request_max_age_s(0xB3) is None
    fleet.hub.cut_pairs.clear()


def test_relay_when_killed_is_left_and_nothing_is_limited(fleet):
    """The change of relays takes less than the bound, so the router stays informed all along."""
    followed = eventually(fleet.router_row).relay
    fleet.kill(followed)
    other = next(relay for relay in RELAYS if relay != followed)
    assert other in fleet.wait_for_event("source")
    fleet.append_purge(0xC1)
    assert fleet.next_request_max_age_s(0xC1) > 0 and fleet.next_request_max_age_s(0xC2) is None
    fleet.start(followed).wait('"epoch":1')


def test_relay_when_it_stands_still_is_left(fleet):
    followed = eventually(fleet.router_row).relay
    fleet.pause(followed)
    try:
        assert f'"{followed}"' not in fleet.wait_for_event("source")
        fleet.append_purge(0xC3)
        assert fleet.next_request_max_age_s(0xC3) > 0
    finally:
        fleet.resume(followed)
    eventually(lambda: all(server.status for server in fleet.query_servers()))


def test_router_when_it_stood_still_ignores_what_lay_unread(fleet):
    """What the relays sent to it, by tokens that it drew before, is older than its bound now."""
    child = fleet.router_harness.router.child
    child.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, child.pid, os.WSTOPPED | os.WNOWAIT)
    passed = fleet.hub.forwarded_counts[ROUTER]
    eventually(lambda: fleet.hub.forwarded_counts[ROUTER] >= passed + 2)
    cut_links(fleet, ROUTER, RELAYS)
    threading.Event().wait(BOUND_S + 0.1)  # the time itself is what is tried
    child.send_signal(signal.SIGCONT)
    fleet.wait_for_event("uninformed")
    assert 0 < fleet.next_request_max_age_s(0xC5) <= MAX_COPY_AGE_S
    restore_links(fleet)


def test_keys_when_changed_one_process_after_the_other_keep_routers_informed(fleet):
    (fleet.folder / "next-key").write_text("the next key of this test's fleet")

    def reload(first, also):
        for name in [*REPLICAS, *RELAYS, ROUTER]:
            fleet.write_key_options(name, first, also)
            process = fleet.router_harness.router if name == ROUTER else fleet.processes[name]
            process.child.send_signal(signal.SIGHUP)
            process.wait('"event":"changelog_reload"')

    reload("key", "next-key")
    reload("next-key", "key")
    reload("next-key", "")
    fleet.write_key_options("operator", "next-key", "")
    fleet.client = Client(load(str(fleet.operator)).changelog)
    fleet.client.append(Purge(0xC6, 0, 0), PATIENT)
    between = lines_until(fleet.router_harness.router, '"key":"00000000000000c6"')
    assert not [line for line in between if "changelog_uninformed" in line]
