"""Feed of the change log: messages that relays and replicas send to their subscribers."""

import msgspec

from tests.support.changelog_log import KEY, context, log_of, purge
from wickhinge.changelog import messages
from wickhinge.changelog.codec import IP_AND_UDP_HEADER_BYTES, Codec
from wickhinge.changelog.entries import (
    Entry,
    Purge,
)
from wickhinge.changelog.feed import Feed
from wickhinge.changelog.log import Log
from wickhinge.changelog.message_codecs import encode_message
from wickhinge.changelog.messages import Packet
from wickhinge.changelog.settings import MAX_TICK_INTERVAL_S, FeedSettings


def subscribe(feed, name, now, number=0, heartbeats_only=False, newest=2, epoch=1):
    message = messages.Subscribe(epoch, number, b"\0" * 8, heartbeats_only, 0)
    return feed.receive(Packet(name, 1, newest, 77, 0, 0, message), now, now)


def fetch(feed, name, now, message):
    return [send.packet.message for send in feed.receive(Packet(name, 1, 2, 78, 0, 0, message), now, now)]


def make_feed(log, now=100.0, **changes):
    return Feed(context("r0"), log, msgspec.structs.replace(FeedSettings(), **changes), now)


def test_feed_when_entries_are_new_sends_one_shared_batch_and_otherwise_heartbeats():
    log = log_of(3)
    feed = make_feed(log)
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
    [heartbeat, _] = feed.tick(100.9, 100.8)
    assert isinstance(heartbeat.packet.message, messages.Heartbeat) and heartbeat.packet.message.digest == log.digest
    assert [row.number for row in feed.rows(100.9)] == [3, 3, 3] and feed.rows(100.9)[0].lag == 1
    feed.tick(112.0, 112.0)
    assert feed.rows(112.0) == []


def test_feed_when_many_subscribers_fetch_answers_in_turn_within_the_rate_limit():
    log = log_of(1000, retain=1000)
    feed = make_feed(
        log,
        catch_up_bytes_per_s=10_000.0,
        catch_up_burst_bytes=5_000.0,
        max_messages_per_request=2,
        subscriber_expiry_s=100.0,
    )
    for place in range(20):
        subscribe(feed, f"f{place}", 100.0)
    answers = [fetch(feed, f"f{place}", 100.0, messages.Fetch(1, 1)) for place in range(20)]
    assert [len(answer) for answer in answers].count(2) == 2  # The burst of the rate limit covers two full answers.
    assert answers[0][1].first == answers[0][0].entries[-1].number + 1
    sent_batches = []
    for step in range(1, 101):
        sent_batches += [
            send for send in feed.tick(100.0 + 0.1 * step, None) if isinstance(send.packet.message, messages.Batch)
        ]
    names = [send.to for send in sent_batches]
    assert len(set(names)) == 18 and len(names) == 36
    bytes_sent = sum(len(encode_message(send.packet.message, 2)) for send in sent_batches)
    assert bytes_sent <= 10_000 * 10 + 5_000


def test_fetch_when_no_longer_retained_is_answered_with_a_snapshot():
    feed = make_feed(log_of(50, retain=10))
    subscribe(feed, "f0", 100.0)
    for request in (messages.Fetch(1, 40), messages.FetchSnapshot(1, 7, 3)):
        [part, *_] = fetch(feed, "f0", 100.0, request)
        assert (part.number, part.part) == (50, 0)
    assert isinstance(fetch(feed, "f0", 100.0, messages.Fetch(1, 41))[0], messages.Batch)
    assert fetch(feed, "f0", 100.0, messages.Fetch(1, 51)) == fetch(feed, "f0", 100.0, messages.Fetch(2, 1)) == []
    assert fetch(feed, "stranger", 100.0, messages.Fetch(1, 41)) == []


def test_feed_when_its_log_is_empty_sends_nothing_and_limits_subscribers():
    feed = make_feed(Log(), max_subscribers=2)
    assert [subscribe(feed, f"f{place}", 100.0, epoch=0) for place in range(3)] == [[], [], []]
    assert len(feed.rows(100.0)) == 2 and feed.refused_subscriptions == 1
    assert feed.tick(101.0, None) == [] and fetch(feed, "f0", 101.0, messages.Fetch(0, 1)) == []


def test_follower_when_27_purges_arrive_per_second_receives_under_700_bytes_per_second():
    log = log_of(0)
    first, second = make_feed(log), make_feed(log)
    sender = Codec(KEY, "relay-1")
    total_bytes, duration_s, number = 0, 40, 0
    for step in range(int(duration_s / MAX_TICK_INTERVAL_S)):
        now = 100.0 + step * MAX_TICK_INTERVAL_S
        if step % 20 == 0:
            subscribe(first, "router-0001", now)
            total_bytes += sum(
                datagram_size(sender, send) for send in subscribe(second, "router-0001", now, heartbeats_only=True)
            )
        while number < 27 * (now - 100.0):
            number += 1
            key = number * 0x9E3779B97F4A7C15 % 2**64 if number % 10 else None
            log.append(Entry(1, number, Purge(key, 0 if key else 321, 1_700_000_000_000 + number * 37)), now)
        total_bytes += sum(datagram_size(sender, send) for send in first.tick(now, now - 0.2))
    assert 500 < total_bytes / duration_s < 700


def datagram_size(sender, send):
    return len(sender.encode(send.to, send.packet)) + IP_AND_UDP_HEADER_BYTES
