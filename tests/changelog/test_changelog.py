"""The change log: entries and their codec, the log, and what relays, routers and replicas decide."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickhinge.changelog import codec, messages
from wickhinge.changelog.ballot import Role
from wickhinge.changelog.binary_fields import MAX_NUMBER
from wickhinge.changelog.codec import SIZE_OF_IP_AND_UDP, Codec, decode_packet, encode_header
from wickhinge.changelog.confirmations import Confirmations
from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.echo_tokens import RATE_FACTOR
from wickhinge.changelog.effects import Accepted, Apply, Committed, Persist, PersistSnapshot, Reset, Send
from wickhinge.changelog.entries import (
    MAX_STAMP_MS,
    Entry,
    Noop,
    Purge,
    Setting,
    Unknown,
    max_encoded_size,
    next_digest,
    validate,
)
from wickhinge.changelog.errors import InvalidChangeError, MalformedMessageError, NotLeaderError, OutOfOrderError
from wickhinge.changelog.feed import Feed
from wickhinge.changelog.follower import Follower
from wickhinge.changelog.log import EMPTY_SNAPSHOT, Log, Snapshot
from wickhinge.changelog.message_codecs import encode_message
from wickhinge.changelog.messages import UNKNOWN_AGE_MS, Packet, Record
from wickhinge.changelog.replica import Replica
from wickhinge.changelog.sequencer import Sequencer
from wickhinge.changelog.settings import TICK_S, FeedSettings, FollowSettings, ReplicaSettings
from wickhinge.changelog.snapshots import SnapshotAssembly, split_snapshot
from wickhinge.changelog.stored import Stored

KEY = b"k" * 32


def context(name):
    return ProcessContext(name, session=7, random_fraction=lambda: 0.5)


# The codec.

stamps = st.integers(0, MAX_STAMP_MS)
groups = st.integers(0, 65535)
changes = st.one_of(
    st.just(Noop()),
    st.builds(Purge, st.none() | st.integers(0, 2**64 - 1), groups, stamps),
    st.builds(Setting, st.text(min_size=1, max_size=25), st.binary(max_size=1000), stamps),
    st.builds(Unknown, st.integers(16, 127), st.booleans(), st.binary(max_size=1100)),
)
numbers = st.integers(1, 2**55)
digests = st.binary(min_size=8, max_size=8)
ages = st.integers(0, 2**32 - 1)


@st.composite
def entry_runs(draw):
    epoch, first, run, size = draw(numbers), draw(numbers), [], 0
    for change in draw(st.lists(changes, min_size=1, max_size=60)):
        size += max_encoded_size(change) + codec.MAX_RECORD_OVERHEAD_BYTES
        if run and size > codec.MAX_ENTRIES_BYTES:
            break
        run.append(Entry(epoch, first + len(run), change))
    return tuple(run)


@st.composite
def batches(draw):
    entries = draw(entry_runs())
    head = entries[-1].number + draw(st.integers(0, 1000))
    return messages.Batch(entries[0].epoch, entries[0].number, entries, draw(digests), head, draw(ages))


@st.composite
def appends(draw):
    entries = draw(entry_runs())
    records = tuple(Record(draw(numbers), entry) for entry in entries)
    rest = [draw(numbers) for _ in range(3)]
    return messages.Append(entries[0].epoch, 3, entries[0].number - 1, *rest[:1], records, *rest[1:], draw(ages), 7)


some_messages = st.one_of(
    st.builds(messages.Subscribe, numbers, numbers, digests, st.booleans(), ages),
    st.just(messages.Unsubscribe()),
    st.builds(messages.Heartbeat, numbers, numbers, digests, ages),
    batches(),
    st.builds(messages.Fetch, numbers, numbers),
    st.builds(messages.FetchSnapshot, numbers, numbers, st.integers(0, 8191)),
    st.builds(messages.SnapshotPart, numbers, numbers, st.integers(0, 9), st.just(10), st.binary(max_size=1200)),
    st.builds(messages.RequestVote, numbers, numbers, numbers, numbers, st.booleans()),
    st.builds(messages.Vote, numbers, numbers, st.booleans(), st.booleans()),
    appends(),
    st.builds(messages.Appended, numbers, numbers, st.booleans(), numbers, numbers),
)
tokens = st.integers(0, 2**64 - 1)


@settings(max_examples=150, deadline=None)
@given(some_messages, st.sampled_from([(1, 1), (1, 2), (2, 2), (2, 9)]), tokens, tokens, ages)
def test_every_packet_fits_a_datagram_and_comes_back_as_it_was(message, formats, token, echo, held):
    packet = Packet("n" * 32, *formats, token, echo, held if echo else 0, message)
    data = Codec(KEY, "sender").encode("router", packet)
    assert len(data) <= 1400
    assert Codec(KEY, "router").decode(data) == packet


@settings(max_examples=150, deadline=None)
@given(some_messages, st.data())
def test_damaged_bodies_are_malformed_or_other_values_and_never_another_error(message, data):
    packet = Packet("n1", 2, 2, 5, 6, 7, message)
    body = bytearray(encode_header(packet) + encode_message(message, 2))
    for _ in range(data.draw(st.integers(1, 3))):
        body[data.draw(st.integers(0, len(body) - 1))] = data.draw(st.integers(0, 255))
    del body[data.draw(st.integers(0, len(body))) :]
    try:
        decode_packet(bytes(body))
    except MalformedMessageError:
        pass


@given(st.binary(max_size=200))
def test_garbage_is_malformed(data):
    with pytest.raises(MalformedMessageError):
        Codec(KEY, "router").decode(data)


def test_a_datagram_is_for_its_receiver_and_under_its_key():
    data = Codec(KEY, "relay").encode("router", Packet("relay", 2, 2, 0, 0, 0, messages.Fetch(1, 1)))
    for key, name in ((KEY, "router2"), (b"j" * 32, "router")):
        with pytest.raises(MalformedMessageError):
            Codec(key, name).decode(data)


@pytest.mark.parametrize(
    "change",
    [
        Purge(2**64, 0, 0),
        Purge(-1, 0, 0),
        Purge(None, 65536, 0),
        Purge(1, 0, MAX_STAMP_MS + 1),
        Purge(1, 0, -1),
        Setting("", b"", 0),
        Setting("é" * 51, b"", 0),
        Setting("a", b"x" * 1001, 0),
        Setting("\ud800", b"", 0),
        Unknown(15, True, b""),
        Unknown(16, True, b"x" * 1101),
    ],
)
def test_a_change_out_of_its_bounds_is_refused(change):
    with pytest.raises(InvalidChangeError):
        validate(change)


def test_a_number_past_the_largest_is_malformed():
    body = encode_header(Packet("n", 2, 2, 0, 0, 0, None)) + encode_message(messages.Fetch(1, MAX_NUMBER + 1), 2)
    with pytest.raises(MalformedMessageError):
        decode_packet(body)


# The log.


def purge(key, stamp_ms=1_700_000_000_000):
    return Purge(key, 0, stamp_ms)


def log_of(count, retain=100, epoch=1):
    log = Log(retain, purge_horizon_s=30.0)
    log.load(msgspec.structs.replace(EMPTY_SNAPSHOT, epoch=epoch), 0.0)
    for number in range(1, count + 1):
        log.append(Entry(epoch, number, purge(number)), float(number))
    return log


def test_a_log_keeps_its_last_entries_and_the_digest_before_them():
    log, whole = log_of(50, retain=10), log_of(50)
    assert (log.first, log.last, log.digest) == (41, 50, whole.digest)
    assert log.digest_at(40) == whole.digest_at(40) and log.digest_at(39) is None and log.digest_at(51) is None
    assert [entry.number for entry in log.entries_from(49, 10_000, 255)] == [49, 50]
    assert log.entries_from(40, 10_000, 255) == log.entries_from(51, 10_000, 255) == ()
    assert len(log.entries_from(41, 1, 255)) == 1 and len(log.entries_from(41, 10_000, 3)) == 3
    for number, epoch in ((52, 1), (50, 1), (51, 2)):
        with pytest.raises(OutOfOrderError):
            log.append(Entry(epoch, number, purge(1)), 51.0)


def test_logs_that_differ_in_one_entry_differ_from_there_on():
    one, other = log_of(5), log_of(5)
    one.append(Entry(1, 6, purge(6)), 6.0)
    other.append(Entry(1, 6, purge(7)), 6.0)
    for log in (one, other):
        log.append(Entry(1, 7, purge(8)), 7.0)
    assert [one.digest_at(number) == other.digest_at(number) for number in (5, 6, 7)] == [True, False, False]


def test_a_snapshot_holds_settings_in_force_and_purges_of_the_last_while():
    log = log_of(50)
    log.append(Entry(1, 51, Setting("b", b"old", 0)), 51.0)
    log.append(Entry(1, 52, Setting("b", b"new", 0)), 52.0)
    snapshot = log.snapshot(60.0)
    assert snapshot.settings == (Setting("b", b"new", 0),)
    assert [one.key for one in snapshot.purges] == list(range(30, 51))
    other = log_of(2, epoch=1)
    other.load(msgspec.structs.replace(snapshot, epoch=2), 60.0)
    assert {1, 2, 30, 50} <= {one.key for one in other.snapshot(61.0).purges}  # what it knew is kept
    assert (other.epoch, other.last, other.first, other.digest) == (2, 52, 53, log.digest)


@settings(max_examples=50, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2**64 - 1), stamps), max_size=300), st.randoms(use_true_random=False))
def test_a_snapshot_comes_back_from_its_parts_in_any_order(purges, rand):
    snapshot = Snapshot(
        3, 9, b"x" * 8, (Setting("a", b"v" * 1000, 5),) * 2, tuple(Purge(k, 0, t) for k, t in purges), True, 4
    )
    parts = list(split_snapshot(snapshot))
    rand.shuffle(parts)
    assembly = SnapshotAssembly("r0")
    assert [assembly.add(part) for part in parts[:-1]] == [None] * (len(parts) - 1)
    assert assembly.add(parts[-1]) == snapshot


def test_a_damaged_part_or_one_of_another_snapshot_starts_the_assembly_anew():
    parts = split_snapshot(Snapshot(3, 9, b"x" * 8, (Setting("a", b"v" * 1000, 5),) * 2, ()))
    assembly = SnapshotAssembly("r0")
    assembly.add(msgspec.structs.replace(parts[0], payload=b"y" * len(parts[0].payload)))
    assert assembly.add(parts[1]) is None and assembly.first_missing == 0
    assembly.add(parts[0])
    assert (assembly.number, assembly.first_missing) == (9, 1)
    assembly.add(msgspec.structs.replace(parts[0], number=10))
    assert (assembly.number, assembly.first_missing) == (10, 1)


# Order, and what is vouched for.


@given(st.lists(st.tuples(st.integers(1, 30), st.integers(1, 8)), max_size=40))
def test_entries_come_out_once_and_in_order_however_they_come_in(runs):
    whole = log_of(40)
    sequencer = Sequencer(max_buffered_entries=20, max_digests=8)
    sequencer.epoch, out = 1, []
    for first, count in runs:
        entries = whole.entries_from(first, 10_000, count)
        out += [entry.number for entry in sequencer.offer(entries)]
        assert len(sequencer._buffered) <= 20
    assert out == list(range(1, sequencer.last + 1))
    assert sequencer.digest == whole.digest_at(sequencer.last)


@given(st.lists(st.tuples(st.integers(0, 50), st.integers(0, 20), st.integers(0, 3)), max_size=60))
def test_a_vouch_counts_once_its_number_is_reached_and_the_latest_of_these_is_told(steps):
    confirmations, told, last = Confirmations(), [], 0
    for until, number, advance in steps:
        confirmations.add(float(until), number)
        told.append((until, number))
        last += advance
        assert confirmations.confirmed_until(last) == max((t for t, n in told if n <= last), default=float("-inf"))


# A follower.

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
        head = self.log.last if head is None else head
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


def test_a_follower_starts_with_a_snapshot_and_goes_on_in_order():
    relayed = loaded(3)
    assert [type(effect) for effect in relayed.effects] == [Reset]
    relayed.batch("r0", 5, 6)
    relayed.batch("r0", 4, 5)
    relayed.batch("r0", 4, 6)
    assert relayed.applied() == [4, 5, 6]


def test_a_gap_is_asked_for_after_a_wait_and_with_backoff():
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


def test_what_is_held_back_is_bounded():
    relayed = loaded()
    relayed.batch("r0", SETTINGS.max_buffered_entries + 1, SETTINGS.max_buffered_entries + 3, digest=b"?" * 8)
    held = relayed.follower._subscription.sequencer._buffered
    assert list(held) == []
    relayed.batch("r0", SETTINGS.max_buffered_entries, SETTINGS.max_buffered_entries, digest=b"?" * 8)
    assert list(held) == [SETTINGS.max_buffered_entries]


def test_informed_until_counts_from_the_token_less_the_age_and_only_what_is_applied():
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


def test_a_packet_without_our_token_is_not_believed():
    relayed = loaded(2)
    before = relayed.follower.informed_until(relayed.now)
    for echo in (0, 12345):
        relayed.tokens["r0"] = echo
        relayed.batch("r0", 3, 3, age_ms=0)
    assert relayed.applied() == [] and relayed.follower.informed_until(relayed.now) == before


def test_oldest_is_none_while_informed_and_the_grace_less_drift_else():
    relayed = loaded(2)
    follower, now = relayed.follower, relayed.now
    assert follower.max_copy_age_s(now, 10.0) is None and not follower.uninformed(now)
    assert follower.max_copy_age_s(now + 2.0, 1.0) == pytest.approx(
        0.94 - 0.001
    )  # informed, but the bound is over the grace
    assert follower.uninformed(now + SETTINGS.bound_s)
    assert follower.max_copy_age_s(now + SETTINGS.bound_s, 10.0) == pytest.approx(9.4 - 0.001)
    assert follower.max_copy_age_s(now + 50.0, 0.0) > 0


def test_a_silent_relay_is_left_for_the_second_one_and_told_so():
    relayed = loaded(2)
    for _ in range(4):
        relayed.step(0.45)
        relayed.beat("r1")
    assert relayed.follower.source == "r1"
    assert relayed.asked(messages.Unsubscribe) == [("r0", messages.Unsubscribe())]
    assert [message.heartbeats_only for to, message in relayed.asked(messages.Subscribe) if to == "r1"][-1] is False


def test_a_follower_that_stood_still_itself_leaves_no_relay_for_that():
    relayed = loaded(2)
    relayed.now += 8.0
    relayed.take(relayed.follower.tick(relayed.now))
    relayed.step(0.2)
    assert relayed.follower.source == "r0"


def test_a_relay_that_lags_behind_the_second_one_is_left():
    relayed = loaded(2)
    for _ in range(3):
        relayed.step(0.4)
        relayed.beat("r0")
        relayed.beat("r1", head=3)
    assert relayed.follower.source == "r1"


def test_a_preferred_relay_is_returned_to():
    relayed = loaded(2)
    while relayed.follower.source == "r0":
        relayed.step(0.25)
        relayed.beat("r1")
    for _ in range(600):
        relayed.step(0.25)
        for place in range(6):
            relayed.beat(f"r{place}")
    assert relayed.follower.source == "r0"


def test_another_digest_at_the_same_number_makes_uninformed_until_a_majority_agrees():
    relayed = loaded(2)
    relayed.beat("r1", digest=b"liar...!")
    assert relayed.follower.uninformed(relayed.now)
    relayed.step(1.1)  # now all are asked
    assert {to for to, _ in relayed.asked(messages.Subscribe)} == {f"r{place}" for place in range(6)}
    for place in (0, 2, 3, 4):
        relayed.beat(f"r{place}")
    relayed.step(0.1)
    assert not relayed.follower.uninformed(relayed.now) and relayed.follower.source == "r0"


def test_a_follower_whose_log_a_majority_contradicts_starts_anew_with_one_of_them():
    relayed = loaded(2)
    relayed.beat("r1", digest=b"truth..!")
    relayed.step(1.1)
    for place in (1, 2, 3, 4):
        relayed.beat(f"r{place}", digest=b"truth..!")
    relayed.step(0.3)
    assert relayed.follower.source != "r0" and relayed.follower.uninformed(relayed.now)
    assert relayed.asked(messages.FetchSnapshot)


def test_a_lower_epoch_is_refused_and_a_higher_one_begins_with_a_snapshot():
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
def test_an_unknown_change_is_skipped_and_makes_uninformed_where_it_must_be_understood(must, uninformed):
    relayed = loaded(2)
    entry = Entry(1, 3, Unknown(99, must, b"new"))
    digest = next_digest(relayed.log.digest, entry)
    relayed.tell("r0", messages.Batch(1, 3, (entry,), digest, 3, 0))
    assert (relayed.follower.number, relayed.follower.skipped) == (3, 1)
    assert relayed.follower.uninformed(relayed.now) is uninformed


# A feed, as relays and replicas have it.


def subscribe(feed, name, now, number=0, heartbeats_only=False, newest=2, epoch=1):
    message = messages.Subscribe(epoch, number, b"\0" * 8, heartbeats_only, 0)
    return feed.receive(Packet(name, 1, newest, 77, 0, 0, message), now, now)


def fetch(feed, name, now, message):
    return [send.packet.message for send in feed.receive(Packet(name, 1, 2, 78, 0, 0, message), now, now)]


def feed_of(log, now=100.0, **changes):
    return Feed(context("r0"), log, msgspec.structs.replace(FeedSettings(), **changes), now)


def test_followers_share_one_batch_and_the_second_relays_followers_get_heartbeats_alone():
    log = log_of(3)
    feed = feed_of(log)
    for name, heartbeats_only, newest in (("f0", False, 2), ("f1", False, 1), ("f2", True, 2)):
        [answer] = subscribe(feed, name, 100.0, 3, heartbeats_only, newest)
        assert isinstance(answer.packet.message, messages.Heartbeat) and answer.packet.echo == 77
    log.append(Entry(1, 4, purge(4)), 100.1)
    assert feed.tick(100.2, 100.15) == []
    sends = feed.tick(100.3, 100.15)
    assert [(send.to, send.packet.format, send.packet.echo_delay_ms) for send in sends] == [
        ("f0", 2, 299),
        ("f1", 1, 299),
    ]
    batch = sends[0].packet.message
    assert batch is sends[1].packet.message and (batch.first, len(batch.entries), batch.age_ms) == (4, 1, 150)
    [beat, _] = feed.tick(100.9, 100.8)
    assert isinstance(beat.packet.message, messages.Heartbeat) and beat.packet.message.digest == log.digest
    assert [row.number for row in feed.rows(100.9)] == [3, 3, 3] and feed.rows(100.9)[0].lag == 1
    feed.tick(112.0, 112.0)
    assert feed.rows(112.0) == []


def test_what_was_missed_is_served_in_pieces_in_turn_and_within_the_rate():
    log = log_of(1000, retain=1000)
    feed = feed_of(
        log,
        catch_up_bytes_per_s=10_000.0,
        catch_up_burst_bytes=5_000.0,
        max_messages_per_request=2,
        subscriber_expiry_s=100.0,
    )
    for place in range(20):
        subscribe(feed, f"f{place}", 100.0)
    answers = [fetch(feed, f"f{place}", 100.0, messages.Fetch(1, 1)) for place in range(20)]
    assert [len(answer) for answer in answers].count(2) == 2  # the burst
    assert answers[0][1].first == answers[0][0].entries[-1].number + 1
    served = []
    for step in range(1, 101):
        served += [
            send for send in feed.tick(100.0 + 0.1 * step, None) if isinstance(send.packet.message, messages.Batch)
        ]
    names = [send.to for send in served]
    assert len(set(names)) == 18 and len(names) == 36
    bytes_sent = sum(len(encode_message(send.packet.message, 2)) for send in served)
    assert bytes_sent <= 10_000 * 10 + 5_000


def test_what_is_no_longer_retained_comes_as_a_snapshot():
    feed = feed_of(log_of(50, retain=10))
    subscribe(feed, "f0", 100.0)
    for request in (messages.Fetch(1, 40), messages.FetchSnapshot(1, 7, 3)):
        [part, *_] = fetch(feed, "f0", 100.0, request)
        assert (part.number, part.part) == (50, 0)
    assert isinstance(fetch(feed, "f0", 100.0, messages.Fetch(1, 41))[0], messages.Batch)
    assert fetch(feed, "f0", 100.0, messages.Fetch(1, 51)) == fetch(feed, "f0", 100.0, messages.Fetch(2, 1)) == []
    assert fetch(feed, "stranger", 100.0, messages.Fetch(1, 41)) == []


def test_a_feed_without_a_log_says_nothing_and_its_table_is_bounded():
    feed = feed_of(Log(), max_subscribers=2)
    assert [subscribe(feed, f"f{place}", 100.0, epoch=0) for place in range(3)] == [[], [], []]
    assert len(feed.rows(100.0)) == 2 and feed.refused == 1
    assert feed.tick(101.0, None) == [] and fetch(feed, "f0", 101.0, messages.Fetch(0, 1)) == []


def test_a_router_receives_under_700_bytes_a_second_at_27_purges_a_second():
    log = log_of(0)
    first, second = feed_of(log), feed_of(log)
    sender = Codec(KEY, "relay-1")
    total, seconds, number = 0, 40, 0
    for step in range(int(seconds / TICK_S)):
        now = 100.0 + step * TICK_S
        if step % 20 == 0:
            subscribe(first, "router-0001", now)
            total += sum(size(sender, send) for send in subscribe(second, "router-0001", now, heartbeats_only=True))
        while number < 27 * (now - 100.0):
            number += 1
            key = number * 0x9E3779B97F4A7C15 % 2**64 if number % 10 else None
            log.append(Entry(1, number, Purge(key, 0 if key else 321, 1_700_000_000_000 + number * 37)), now)
        total += sum(size(sender, send) for send in first.tick(now, now - 0.2))
    assert 500 < total / seconds < 700


def size(sender, send):
    return len(sender.encode(send.to, send.packet)) + SIZE_OF_IP_AND_UDP


# A replica.


class Replicas:
    """One replica, and its peers as the test plays them."""

    def __init__(self, stored=None, count=3, now=50.0):
        self.names = [f"p{place}" for place in range(count)]
        self.now = now
        self.replica = Replica(context("p0"), self.names, ReplicaSettings(retain=4), stored or Stored(), now)

    def tell(self, sender, message):
        return self.replica.receive(Packet(sender, 2, 2, 5, 0, 0, message), self.now)

    def until_it_stands(self):
        effects = []
        while self.replica.role is Role.FOLLOWER:
            self.now += TICK_S
            effects = self.replica.tick(self.now)
        return effects

    def elected(self):
        self.until_it_stands()
        self.tell("p1", messages.Vote(1, self.replica.term + 1, True, True))
        effects = self.tell("p1", messages.Vote(1, self.replica.term, True, False))
        assert self.replica.role is Role.LEADER
        return effects


def record(term, number):
    return Record(term, Entry(1, number, purge(number)))


def append(term, previous, previous_term, *records, commit=0, first=1):
    return messages.Append(1, term, previous, previous_term, records, commit, first, UNKNOWN_AGE_MS, 1)


def answers(effects):
    return [effect.packet.message for effect in effects if isinstance(effect, Send)]


def test_a_replica_asks_before_it_raises_its_term_and_leads_with_a_majority():
    replicas = Replicas()
    effects = replicas.until_it_stands()
    assert replicas.replica.term == 0 and all(answer.pre_vote for answer in answers(effects))
    effects = replicas.elected()
    assert [type(effect) for effect in effects] == [Persist, Send, Send]
    [first, _] = answers(effects)
    assert first.records[0].entry.change == Noop()


def test_a_vote_is_given_once_a_term_is_persisted_first_and_kept_over_a_restart():
    replicas = Replicas()
    ask = messages.RequestVote(1, 4, 0, 0, False)
    effects = replicas.tell("p1", ask)
    persisted = effects[-2]
    assert isinstance(persisted, Persist) and (persisted.term, persisted.vote) == (4, "p1")
    assert answers(effects) == [messages.Vote(1, 4, True, False)]
    assert answers(replicas.tell("p2", ask)) == [messages.Vote(1, 4, False, False)]
    again = Replicas(Stored(term=4, vote="p1"))
    assert answers(again.tell("p2", ask)) == [messages.Vote(1, 4, False, False)]
    assert answers(again.tell("p1", ask)) == [messages.Vote(1, 4, True, False)]


def test_who_lacks_records_gets_no_vote_and_who_hears_a_leader_supports_no_other():
    replicas = Replicas(Stored(term=2, records=(record(2, 1), record(2, 2))))
    for last, last_term in ((1, 2), (9, 1)):
        assert not answers(replicas.tell("p1", messages.RequestVote(1, 3, last, last_term, False)))[0].granted
    replicas.tell("p1", append(3, 2, 2))
    assert not answers(replicas.tell("p2", messages.RequestVote(1, 4, 2, 2, True)))[0].granted
    assert replicas.replica.term == 3


def test_a_follower_persists_before_it_answers_and_replaces_what_conflicts():
    replicas = Replicas()
    effects = replicas.tell("p1", append(1, 0, 0, record(1, 1), record(1, 2)))
    assert [type(effect) for effect in effects[-2:]] == [Persist, Send]
    effects = replicas.tell("p2", append(2, 1, 1, record(2, 2), commit=2))
    assert [effect.truncate_after for effect in effects if isinstance(effect, Persist) and effect.records] == [1]
    assert [effect.entries[-1].number for effect in effects if isinstance(effect, Committed)] == [2]
    [answer] = answers(replicas.tell("p2", append(2, 7, 2, record(2, 8))))
    assert (answer.success, answer.match) == (False, 2)
    [answer] = answers(replicas.tell("p1", append(1, 0, 0, record(1, 1))))
    assert (answer.success, answer.term) == (False, 2)


def test_a_leader_commits_by_majority_and_only_by_a_record_of_its_own_term():
    replicas = Replicas(Stored(term=1, records=(record(1, 1),)), count=5)
    replicas.until_it_stands()
    for pre_vote in (True, False):
        for peer in ("p1", "p2"):
            replicas.tell(peer, messages.Vote(1, 2, True, pre_vote))
    replica = replicas.replica
    for peer in ("p1", "p2"):
        replicas.tell(peer, messages.Appended(1, 2, True, 1, 1))
    assert replica.commit == 0  # at a majority, but of an earlier leader's term
    replicas.tell("p1", messages.Appended(1, 2, True, 2, 1))
    effects = replicas.tell("p2", messages.Appended(1, 2, True, 2, 1))
    assert replica.commit == 2 and [type(effect) for effect in effects] == [Committed]
    assert Accepted(3, 2) in replica.propose(purge(5), replicas.now)


def test_a_leader_goes_back_as_often_as_a_log_differs_also_within_a_round():
    records = tuple(record(1 + number // 4, number) for number in range(1, 10))
    replicas = Replicas(Stored(term=4, records=records))
    replicas.until_it_stands()
    for pre_vote in (True, False):
        replicas.tell("p1", messages.Vote(1, 5, True, pre_vote))
    for match in (7, 3, 0):
        [again] = answers(replicas.tell("p2", messages.Appended(1, 5, False, match, 1)))
        assert (again.previous_number, again.records[0].entry.number) == (match, match + 1)
    assert answers(replicas.tell("p2", messages.Appended(1, 5, False, 7, 1))) == []  # late
    replicas.tell("p2", messages.Appended(1, 5, True, 10, 1))
    assert replicas.replica.commit == 10


def test_a_leader_vouches_from_the_start_of_a_round_that_a_majority_answered():
    replicas = Replicas()
    replicas.elected()
    began = replicas.now
    replicas.now += 0.3
    replicas.tell("p1", messages.Appended(1, 1, True, 0, 1))
    assert replicas.replica.confirmed_until() == float("-inf")  # its first record is not committed
    replicas.tell("p1", messages.Appended(1, 1, True, 1, 1))
    assert replicas.replica.confirmed_until() == began


def test_a_leader_without_answers_steps_down_and_takes_no_proposals():
    replicas = Replicas()
    replicas.elected()
    for _ in range(40):
        replicas.now += TICK_S
        replicas.replica.tick(replicas.now)
    assert replicas.replica.role is not Role.LEADER
    with pytest.raises(NotLeaderError):
        replicas.replica.propose(purge(1), replicas.now)


def test_a_replica_that_lacks_what_the_leader_has_cut_loads_its_snapshot():
    replicas = Replicas()
    replicas.tell("p1", append(3, 40, 2, first=41))
    replicas.now += TICK_S
    requests = answers(replicas.replica.tick(replicas.now))
    assert messages.FetchSnapshot(1, 0, 0) in requests
    snapshot = msgspec.structs.replace(log_of(40).snapshot(40.0), term=2)
    effects = [effect for part in split_snapshot(snapshot) for effect in replicas.tell("p1", part)]
    assert effects == [PersistSnapshot(snapshot, True)]
    [answer] = answers(replicas.tell("p1", append(3, 40, 2, record(3, 41), commit=41, first=41)))
    assert (answer.success, answer.match, replicas.replica.commit) == (True, 41, 41)


def test_records_are_cut_behind_a_persisted_snapshot():
    replicas = Replicas()
    effects = replicas.tell("p1", append(1, 0, 0, *(record(1, number) for number in range(1, 11)), commit=10))
    [persisted] = [effect for effect in effects if isinstance(effect, PersistSnapshot)]
    assert (persisted.snapshot.number, persisted.snapshot.term, persisted.clear) == (10, 1, False)
    assert (replicas.replica.records.base, replicas.replica.commit) == (6, 10)


def test_a_higher_epoch_makes_blank_persists_it_first_and_a_lower_one_is_refused():
    replicas = Replicas(Stored(term=2, vote="p1", records=(record(2, 1),)))
    ask = messages.RequestVote(5, 1, 9, 0, False)
    effects = replicas.tell("p1", ask)
    assert [type(effect) for effect in effects[:2]] == [Persist, PersistSnapshot]
    assert (effects[0].epoch, effects[0].term, effects[0].vote, effects[0].truncate_after) == (5, 0, "", 0)
    assert answers(effects)[-1] == messages.Vote(5, 1, True, False)
    assert replicas.tell("p2", append(9, 1, 2, record(2, 2))) == []
    replicas.now += 60.0
    assert answers(replicas.replica.tick(replicas.now)) == []  # blank: it does not stand for election
