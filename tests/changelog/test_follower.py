"""The change log: what a follower decides, against relays that the test plays."""

import msgspec
import pytest

from tests.support.changelog_log import context, log_of, purge
from wickhinge.changelog import messages
from wickhinge.changelog.echo_tokens import RATE_FACTOR
from wickhinge.changelog.effects import Apply, Reset, Send
from wickhinge.changelog.entries import (
    Entry,
    Unknown,
    next_digest,
)
from wickhinge.changelog.follower import Follower
from wickhinge.changelog.messages import UNKNOWN_AGE_MS, Packet
from wickhinge.changelog.settings import TICK_S, FollowSettings
from wickhinge.changelog.snapshots import split_snapshot

SETTINGS = FollowSettings()


class Relayed:
    """A follower, and the relays r0 to r5 as the test plays them: all with the same log."""

    def __init__(self, count=0, now=100.0):
        self.now = now
        self.log = log_of(count, retain=5)
        self.follower = Follower(context("f0"), [f"r{place}" for place in range(6)], SETTINGS, now)
        self.tokens, self.drawn, self.sent, self.effects = {}, {}, [], []
        self.step(0.0)

    def step(self, seconds):
        until = self.now + seconds
        while True:
            self.take(self.follower.tick(self.now))
            if self.now >= until:
                return
            self.now = min(self.now + TICK_S, until)

    def take(self, effects):
        self.effects += [effect for effect in effects if not isinstance(effect, Send)]
        for effect in effects:
            if isinstance(effect, Send):
                self.sent.append((effect.to, effect.packet.message))
                self.tokens[effect.to], self.drawn[effect.to] = effect.packet.token, self.now

    def tell(self, source, message, echo_delay_ms=0, newest=2):
        packet = Packet(source, 1, newest, 0, self.tokens.get(source, 0), echo_delay_ms, message)
        self.take(self.follower.receive(packet, self.now))

    def beat(self, source, head=None, age_ms=50, **changes):
        head = self.log.last_number if head is None else head
        digest = self.log.digest_at(head) or b"?" * 8
        beat = messages.Heartbeat(self.log.epoch, head, digest, age_ms)
        self.tell(source, msgspec.structs.replace(beat, **changes))

    def batch(self, source, first, last, **changes):
        entries = tuple(Entry(self.log.epoch, number, purge(number)) for number in range(first, last + 1))
        batch = messages.Batch(self.log.epoch, first, entries, self.digest(last), last, 50)
        self.tell(source, msgspec.structs.replace(batch, **changes))

    def digest(self, number):
        return log_of(number, epoch=self.log.epoch).digest

    def load(self, source="r0"):
        self.beat(source)
        for part in split_snapshot(self.log.snapshot(self.now)):
            self.tell(source, part)

    def asked(self, kind):
        return [(to, message) for to, message in self.sent if isinstance(message, kind)]

    def applied(self):
        return [effect.entry.number for effect in self.effects if isinstance(effect, Apply)]


def loaded(count=0):
    relayed = Relayed(count)
    relayed.load()
    return relayed


def test_follower_when_started_loads_a_snapshot_and_goes_on_in_order():
    relayed = loaded(3)
    assert [type(effect) for effect in relayed.effects] == [Reset]
    relayed.batch("r0", 5, 6)
    relayed.batch("r0", 4, 5)
    relayed.batch("r0", 4, 6)
    assert relayed.applied() == [4, 5, 6]


def test_gap_when_it_stays_is_fetched_after_a_wait_and_with_backoff():
    relayed = loaded()
    relayed.batch("r0", 3, 3)
    assert not relayed.asked(messages.Fetch)
    relayed.step(0.2)
    assert relayed.asked(messages.Fetch) == [("r0", messages.Fetch(1, 1))]
    for _ in range(40):
        relayed.step(0.2)
        relayed.beat("r0", head=3)
    assert 4 <= len(relayed.asked(messages.Fetch)) <= 8
    relayed.batch("r0", 1, 2)
    assert relayed.applied() == [1, 2, 3]


def test_early_entries_when_over_the_maximum_are_not_buffered():
    relayed = loaded()
    relayed.batch("r0", SETTINGS.max_buffered_entries + 1, SETTINGS.max_buffered_entries + 3, digest=b"?" * 8)
    held = relayed.follower._subscription.sequencer._buffered
    assert list(held) == []
    relayed.batch("r0", SETTINGS.max_buffered_entries, SETTINGS.max_buffered_entries, digest=b"?" * 8)
    assert list(held) == [SETTINGS.max_buffered_entries]


def test_informed_until_when_confirmed_counts_from_the_token_less_the_age():
    relayed = loaded(2)
    assert relayed.follower.informed_until(relayed.now) == pytest.approx(relayed.now - 0.05 / RATE_FACTOR)
    relayed.step(1.0)
    drawn = relayed.drawn["r0"]
    assert drawn < relayed.now
    relayed.tell("r0", messages.Heartbeat(1, 2, relayed.log.digest, 200), echo_delay_ms=500)
    told = drawn + 0.5 * RATE_FACTOR - 0.2 / RATE_FACTOR
    assert relayed.follower.informed_until(relayed.now) == pytest.approx(told)
    relayed.tell("r0", messages.Heartbeat(1, 3, relayed.digest(3), 0), echo_delay_ms=500)  # 3 is not here yet
    assert relayed.follower.informed_until(relayed.now) == pytest.approx(told)
    relayed.batch("r0", 3, 3, age_ms=UNKNOWN_AGE_MS)
    assert relayed.follower.informed_until(relayed.now) == pytest.approx(drawn + 0.5 * RATE_FACTOR)


def test_packet_when_it_echoes_no_token_of_ours_is_ignored():
    relayed = loaded(2)
    before = relayed.follower.informed_until(relayed.now)
    for echo in (0, 12345):
        relayed.tokens["r0"] = echo
        relayed.batch("r0", 3, 3, age_ms=0)
    assert relayed.applied() == [] and relayed.follower.informed_until(relayed.now) == before


def test_max_copy_age_when_informed_is_none_else_the_grace_less_drift():
    relayed = loaded(2)
    follower, now = relayed.follower, relayed.now
    assert follower.max_copy_age_s(now, 10.0) is None and not follower.uninformed(now)
    assert follower.max_copy_age_s(now + 2.0, 1.0) == pytest.approx(
        0.94 - 0.001
    )  # informed, but the bound is over the grace
    assert follower.uninformed(now + SETTINGS.bound_s)
    assert follower.max_copy_age_s(now + SETTINGS.bound_s, 10.0) == pytest.approx(9.4 - 0.001)
    assert follower.max_copy_age_s(now + 50.0, 0.0) > 0


def test_relay_when_silent_is_left_for_the_secondary_and_notified():
    relayed = loaded(2)
    for _ in range(4):
        relayed.step(0.45)
        relayed.beat("r1")
    assert relayed.follower.source == "r1"
    assert relayed.asked(messages.Unsubscribe) == [("r0", messages.Unsubscribe())]
    assert [message.heartbeats_only for to, message in relayed.asked(messages.Subscribe) if to == "r1"][-1] is False


def test_follower_when_it_stood_still_itself_keeps_its_relay():
    relayed = loaded(2)
    relayed.now += 8.0
    relayed.take(relayed.follower.tick(relayed.now))
    relayed.step(0.2)
    assert relayed.follower.source == "r0"


def test_relay_when_behind_the_secondary_is_left():
    relayed = loaded(2)
    for _ in range(3):
        relayed.step(0.4)
        relayed.beat("r0")
        relayed.beat("r1", head=3)
    assert relayed.follower.source == "r1"


def test_preferred_relay_when_steady_again_is_returned_to():
    relayed = loaded(2)
    while relayed.follower.source == "r0":
        relayed.step(0.25)
        relayed.beat("r1")
    for _ in range(600):
        relayed.step(0.25)
        for place in range(6):
            relayed.beat(f"r{place}")
    assert relayed.follower.source == "r0"


def test_follower_when_a_digest_differs_is_uninformed_until_a_majority_agrees():
    relayed = loaded(2)
    relayed.beat("r1", digest=b"liar...!")
    assert relayed.follower.uninformed(relayed.now)
    relayed.step(1.1)  # now all are asked
    assert {to for to, _ in relayed.asked(messages.Subscribe)} == {f"r{place}" for place in range(6)}
    for place in (0, 2, 3, 4):
        relayed.beat(f"r{place}")
    relayed.step(0.1)
    assert not relayed.follower.uninformed(relayed.now) and relayed.follower.source == "r0"


def test_follower_when_a_majority_contradicts_its_log_starts_anew_with_one_of_them():
    relayed = loaded(2)
    relayed.beat("r1", digest=b"truth..!")
    relayed.step(1.1)
    for place in (1, 2, 3, 4):
        relayed.beat(f"r{place}", digest=b"truth..!")
    relayed.step(0.3)
    assert relayed.follower.source != "r0" and relayed.follower.uninformed(relayed.now)
    assert relayed.asked(messages.FetchSnapshot)


def test_epoch_when_lower_is_refused_and_when_higher_begins_with_a_snapshot():
    relayed = loaded(4)
    relayed.log.load(msgspec.structs.replace(relayed.log.snapshot(0.0), epoch=3, number=2), relayed.now)
    relayed.load()
    assert (relayed.follower.epoch, relayed.follower.number) == (3, 2)
    relayed.batch("r0", 3, 3, epoch=2)
    relayed.beat("r0", epoch=1, head=9)
    assert relayed.applied() == [] and relayed.follower._subscription.refused_epochs == 2
    relayed.batch("r0", 3, 3, digest=b"?" * 8)
    assert relayed.applied() == [3]


@pytest.mark.parametrize("must, uninformed", [(False, False), (True, True)])
def test_unknown_change_when_applied_is_skipped_and_uninformed_only_if_it_must_be_understood(must, uninformed):
    relayed = loaded(2)
    entry = Entry(1, 3, Unknown(99, must, b"new"))
    digest = next_digest(relayed.log.digest, entry)
    relayed.tell("r0", messages.Batch(1, 3, (entry,), digest, 3, 0))
    assert (relayed.follower.number, relayed.follower.skipped) == (3, 1)
    assert relayed.follower.uninformed(relayed.now) is uninformed
