"""Follower of the change log, with relays simulated by the test."""

import msgspec
import pytest

from tests.support.changelog_log import context, log_of, purge
from wickhinge.changelog import messages
from wickhinge.changelog.echo_tokens import CLOCK_RATE_FACTOR
from wickhinge.changelog.effects import Apply, Reset, Send
from wickhinge.changelog.entries import (
    Entry,
    Unknown,
    next_digest,
)
from wickhinge.changelog.follower import Follower
from wickhinge.changelog.messages import UNKNOWN_AGE_MS, Packet
from wickhinge.changelog.settings import MAX_TICK_INTERVAL_S, FollowSettings
from wickhinge.changelog.snapshots import split_snapshot

SETTINGS = FollowSettings()


class FollowerHarness:
    """Follower with the simulated relays r0 to r5, which all have the same log."""

    def __init__(self, count=0, now=100.0):
        self.now = now
        self.log = log_of(count, retain=5)
        self.follower = Follower(context("f0"), [f"r{place}" for place in range(6)], SETTINGS, now)
        self.tokens, self.token_drawn_at, self.sent, self.effects = {}, {}, [], []
        self.run_for(0.0)

    def run_for(self, seconds):
        until = self.now + seconds
        while True:
            self.record_effects(self.follower.tick(self.now))
            if self.now >= until:
                return
            self.now = min(self.now + MAX_TICK_INTERVAL_S, until)

    def record_effects(self, effects):
        self.effects += [effect for effect in effects if not isinstance(effect, Send)]
        for effect in effects:
            if isinstance(effect, Send):
                self.sent.append((effect.to, effect.packet.message))
                self.tokens[effect.to], self.token_drawn_at[effect.to] = effect.packet.token, self.now

    def deliver(self, source, message, echo_delay_ms=0, newest=2):
        packet = Packet(source, 1, newest, 0, self.tokens.get(source, 0), echo_delay_ms, message)
        self.record_effects(self.follower.receive(packet, self.now))

    def deliver_heartbeat(self, source, head=None, age_ms=50, **changes):
        head = self.log.last_number if head is None else head
        digest = self.log.digest_at(head) or b"?" * 8
        heartbeat = messages.Heartbeat(self.log.epoch, head, digest, age_ms)
        self.deliver(source, msgspec.structs.replace(heartbeat, **changes))

    def deliver_batch(self, source, first, last, **changes):
        entries = tuple(Entry(self.log.epoch, number, purge(number)) for number in range(first, last + 1))
        batch = messages.Batch(self.log.epoch, first, entries, self.digest_after(last), last, 50)
        self.deliver(source, msgspec.structs.replace(batch, **changes))

    def digest_after(self, number):
        return log_of(number, epoch=self.log.epoch).digest

    def deliver_snapshot(self, source="r0"):
        self.deliver_heartbeat(source)
        for part in split_snapshot(self.log.snapshot(self.now)):
            self.deliver(source, part)

    def sent_messages(self, kind):
        return [(to, message) for to, message in self.sent if isinstance(message, kind)]

    def applied_numbers(self):
        return [effect.entry.number for effect in self.effects if isinstance(effect, Apply)]


def make_loaded_harness(count=0):
    harness = FollowerHarness(count)
    harness.deliver_snapshot()
    return harness


def test_follower_when_started_loads_a_snapshot_and_applies_entries_in_order():
    harness = make_loaded_harness(3)
    assert [type(effect) for effect in harness.effects] == [Reset]
    harness.deliver_batch("r0", 5, 6)
    harness.deliver_batch("r0", 4, 5)
    harness.deliver_batch("r0", 4, 6)
    assert harness.applied_numbers() == [4, 5, 6]


def test_missing_entries_when_not_received_are_requested_after_a_wait_with_backoff():
    harness = make_loaded_harness()
    harness.deliver_batch("r0", 3, 3)
    assert not harness.sent_messages(messages.Fetch)
    harness.run_for(0.2)
    assert harness.sent_messages(messages.Fetch) == [("r0", messages.Fetch(1, 1))]
    for _ in range(40):
        harness.run_for(0.2)
        harness.deliver_heartbeat("r0", head=3)
    assert 4 <= len(harness.sent_messages(messages.Fetch)) <= 8
    harness.deliver_batch("r0", 1, 2)
    assert harness.applied_numbers() == [1, 2, 3]


def test_early_entries_when_over_the_maximum_are_not_buffered():
    harness = make_loaded_harness()
    harness.deliver_batch("r0", SETTINGS.max_buffered_entries + 1, SETTINGS.max_buffered_entries + 3, digest=b"?" * 8)
    buffered = harness.follower._subscription.sequencer._buffered
    assert list(buffered) == []
    harness.deliver_batch("r0", SETTINGS.max_buffered_entries, SETTINGS.max_buffered_entries, digest=b"?" * 8)
    assert list(buffered) == [SETTINGS.max_buffered_entries]


def test_informed_until_when_confirmed_is_the_time_of_the_token_minus_the_age():
    harness = make_loaded_harness(2)
    assert harness.follower.informed_until(harness.now) == pytest.approx(harness.now - 0.05 / CLOCK_RATE_FACTOR)
    harness.run_for(1.0)
    token_drawn_at = harness.token_drawn_at["r0"]
    assert token_drawn_at < harness.now
    harness.deliver("r0", messages.Heartbeat(1, 2, harness.log.digest, 200), echo_delay_ms=500)
    expected = token_drawn_at + 0.5 * CLOCK_RATE_FACTOR - 0.2 / CLOCK_RATE_FACTOR
    assert harness.follower.informed_until(harness.now) == pytest.approx(expected)
    # The follower has not received entry 3 yet.
    harness.deliver("r0", messages.Heartbeat(1, 3, harness.digest_after(3), 0), echo_delay_ms=500)
    assert harness.follower.informed_until(harness.now) == pytest.approx(expected)
    harness.deliver_batch("r0", 3, 3, age_ms=UNKNOWN_AGE_MS)
    assert harness.follower.informed_until(harness.now) == pytest.approx(token_drawn_at + 0.5 * CLOCK_RATE_FACTOR)


def test_packet_when_it_echoes_an_unknown_token_is_ignored():
    harness = make_loaded_harness(2)
    before = harness.follower.informed_until(harness.now)
    for echo in (0, 12345):
        harness.tokens["r0"] = echo
        harness.deliver_batch("r0", 3, 3, age_ms=0)
    assert harness.applied_numbers() == [] and harness.follower.informed_until(harness.now) == before


def test_max_copy_age_when_informed_is_none_otherwise_the_grace_minus_clock_drift():
    harness = make_loaded_harness(2)
    follower, now = harness.follower, harness.now
    assert follower.max_copy_age_s(now, 10.0) is None and not follower.is_uninformed(now)
    # The follower is informed, but the grace is below the bound.
    assert follower.max_copy_age_s(now + 2.0, 1.0) == pytest.approx(0.94 - 0.001)
    assert follower.is_uninformed(now + SETTINGS.bound_s)
    assert follower.max_copy_age_s(now + SETTINGS.bound_s, 10.0) == pytest.approx(9.4 - 0.001)
    assert follower.max_copy_age_s(now + 50.0, 0.0) > 0


def test_relay_when_silent_is_replaced_by_the_secondary_and_notified():
    harness = make_loaded_harness(2)
    for _ in range(4):
        harness.run_for(0.45)
        harness.deliver_heartbeat("r1")
    assert harness.follower.source == "r1"
    assert harness.sent_messages(messages.Unsubscribe) == [("r0", messages.Unsubscribe())]
    assert [sent.heartbeats_only for to, sent in harness.sent_messages(messages.Subscribe) if to == "r1"][-1] is False


def test_follower_when_it_was_suspended_itself_keeps_its_relay():
    harness = make_loaded_harness(2)
    harness.now += 8.0
    harness.record_effects(harness.follower.tick(harness.now))
    harness.run_for(0.2)
    assert harness.follower.source == "r0"


def test_relay_when_behind_the_secondary_is_replaced():
    harness = make_loaded_harness(2)
    for _ in range(3):
        harness.run_for(0.4)
        harness.deliver_heartbeat("r0")
        harness.deliver_heartbeat("r1", head=3)
    assert harness.follower.source == "r1"


def test_preferred_relay_when_steady_again_is_followed_again():
    harness = make_loaded_harness(2)
    while harness.follower.source == "r0":
        harness.run_for(0.25)
        harness.deliver_heartbeat("r1")
    for _ in range(600):
        harness.run_for(0.25)
        for place in range(6):
            harness.deliver_heartbeat(f"r{place}")
    assert harness.follower.source == "r0"


def test_follower_when_a_digest_differs_is_uninformed_until_a_majority_agrees():
    harness = make_loaded_harness(2)
    harness.deliver_heartbeat("r1", digest=b"differs!")
    assert harness.follower.is_uninformed(harness.now)
    harness.run_for(1.1)  # The follower subscribes to all relays, to compare their digests.
    assert {to for to, _ in harness.sent_messages(messages.Subscribe)} == {f"r{place}" for place in range(6)}
    for place in (0, 2, 3, 4):
        harness.deliver_heartbeat(f"r{place}")
    harness.run_for(0.1)
    assert not harness.follower.is_uninformed(harness.now) and harness.follower.source == "r0"


def test_follower_when_a_majority_contradicts_its_log_loads_a_snapshot_from_one_of_them():
    harness = make_loaded_harness(2)
    harness.deliver_heartbeat("r1", digest=b"majority")
    harness.run_for(1.1)
    for place in (1, 2, 3, 4):
        harness.deliver_heartbeat(f"r{place}", digest=b"majority")
    harness.run_for(0.3)
    assert harness.follower.source != "r0" and harness.follower.is_uninformed(harness.now)
    assert harness.sent_messages(messages.FetchSnapshot)


def test_packet_when_its_epoch_is_lower_is_refused_and_when_higher_a_snapshot_is_loaded():
    harness = make_loaded_harness(4)
    harness.log.load(msgspec.structs.replace(harness.log.snapshot(0.0), epoch=3, number=2), harness.now)
    harness.deliver_snapshot()
    assert (harness.follower.epoch, harness.follower.number) == (3, 2)
    harness.deliver_batch("r0", 3, 3, epoch=2)
    harness.deliver_heartbeat("r0", epoch=1, head=9)
    assert harness.applied_numbers() == [] and harness.follower._subscription.refused_packets == 2
    harness.deliver_batch("r0", 3, 3, digest=b"?" * 8)
    assert harness.applied_numbers() == [3]


@pytest.mark.parametrize("must_understand, is_uninformed", [(False, False), (True, True)])
def test_unknown_change_when_applied_is_skipped_and_makes_uninformed_only_if_it_must_be_understood(
    must_understand, is_uninformed
):
    harness = make_loaded_harness(2)
    entry = Entry(1, 3, Unknown(99, must_understand, b"new"))
    digest = next_digest(harness.log.digest, entry)
    harness.deliver("r0", messages.Batch(1, 3, (entry,), digest, 3, 0))
    assert (harness.follower.number, harness.follower.skipped_entries) == (3, 1)
    assert harness.follower.is_uninformed(harness.now) is is_uninformed
