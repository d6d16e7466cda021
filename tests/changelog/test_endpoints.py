"""Endpoints of the change log on a fake reactor."""

import errno

import pytest

from tests.support.changelog_endpoints import (
    ADDRESS_A,
    ADDRESS_B,
    NEXT_KEY,
    Consumer,
    entry,
    make_datagram,
    start_follower_endpoint,
    start_relay_endpoint,
    start_replica_endpoint,
)
from tests.support.changelog_log import KEY
from wickhinge.changelog.codec import Codec
from wickhinge.changelog.effects import Apply, Persist, Send
from wickhinge.changelog.entries import Noop
from wickhinge.changelog.messages import Packet, Unsubscribe
from wickhinge.changelog.storage import MemoryStorage


def test_endpoint_when_keys_change_accepts_both_and_sends_with_the_first(reactor):
    endpoint = start_relay_endpoint(reactor)
    endpoint.datagramReceived(make_datagram(NEXT_KEY), ADDRESS_B)
    assert endpoint.counters.unreadable == 1
    endpoint.use_keys([NEXT_KEY, KEY])
    endpoint.datagramReceived(make_datagram(NEXT_KEY), ADDRESS_B)
    endpoint.datagramReceived(make_datagram(KEY), ADDRESS_B)
    assert endpoint.counters.unreadable == 1
    reactor.sent_datagrams.clear()
    reactor.run(5.0)
    assert reactor.sent_datagrams and all(
        Codec(NEXT_KEY, "a").decode(data) for data, to in reactor.sent_datagrams if to == ADDRESS_A
    )


def test_endpoint_when_the_socket_is_full_drops_datagrams_and_continues(reactor):
    endpoint = start_relay_endpoint(reactor)
    reactor.write_errno = errno.EAGAIN
    reactor.run(1.0)
    unsent = endpoint.counters.unsent
    assert unsent > 0 and not endpoint.fault_count
    reactor.write_errno = None
    reactor.sent_datagrams.clear()
    reactor.run(3.0)
    assert endpoint.counters.unsent == unsent and reactor.sent_datagrams


def test_endpoint_when_it_was_suspended_skips_missed_ticks(reactor):
    endpoint = start_relay_endpoint(reactor)
    ticks = []
    endpoint.after_tick = lambda: ticks.append(reactor.now)
    reactor.run(1.001)
    assert len(ticks) in (20, 21)
    calls, reactor.scheduled_calls = reactor.scheduled_calls, []
    reactor.now = 9.0  # The process was suspended.
    calls[0][1]()
    reactor.run(9.101)
    assert [now for now in ticks if now >= 9.0] == pytest.approx([9.0, 9.05, 9.1])


def test_datagrams_when_over_the_maximum_per_tick_are_dropped(reactor, monkeypatch):
    monkeypatch.setattr("wickhinge.changelog.endpoint.MAX_DATAGRAMS_PER_TICK", 10)
    endpoint = start_relay_endpoint(reactor)
    for _ in range(25):
        endpoint.datagramReceived(b"x", ADDRESS_B)
    assert (endpoint.counters.over_limit, endpoint.counters.unreadable) == (15, 10)
    reactor.run(0.06)
    endpoint.datagramReceived(b"x", ADDRESS_B)
    assert endpoint.counters.over_limit == 15


def test_follower_endpoint_when_its_consumer_raises_is_uninformed(reactor):
    def fail(entry):
        raise ValueError("failure of the test")

    events = []
    endpoint = start_follower_endpoint(reactor, Consumer(fail), log=lambda event, **fields: events.append(event))
    endpoint.state_machine.is_uninformed = lambda now: bool(endpoint.state_machine.unapplied_changes)
    endpoint.perform([Send("l", Packet("n", 2, 2, 0, 0, 0, Unsubscribe()))])
    assert not endpoint.state_machine.is_uninformed(0.0)
    endpoint.perform([Apply(entry(1, Noop()))])
    assert endpoint.state_machine.is_uninformed(0.0) and events == ["changelog_fault"] and endpoint.fault_count == 1


def test_endpoint_when_a_step_raises_continues_with_ticks_and_packets(reactor):
    endpoint = start_relay_endpoint(reactor)

    def fail(*arguments):
        raise ValueError("failure of the test")

    receive, endpoint.state_machine.receive = endpoint.state_machine.receive, fail
    endpoint.datagramReceived(make_datagram(KEY), ADDRESS_B)
    assert endpoint.fault_count == 1
    endpoint.state_machine.receive = receive
    tick, endpoint.state_machine.tick = endpoint.state_machine.tick, fail
    reactor.run(0.2)
    endpoint.state_machine.tick = tick
    reactor.sent_datagrams.clear()
    reactor.run(3.0)
    assert endpoint.fault_count > 2 and reactor.sent_datagrams


class FailingStorage(MemoryStorage):
    def persist(self, effect):
        raise MemoryError("failure of the test")


def test_replica_endpoint_when_storage_fails_sends_nothing_more(reactor):
    """Any exception of the storage counts as a failure, also one that is not a StorageError."""
    failures = []
    endpoint = start_replica_endpoint(reactor, FailingStorage(), on_storage_failure=failures.append)
    packet = Packet("a", 2, 2, 0, 0, 0, Unsubscribe())
    reactor.sent_datagrams.clear()
    endpoint.perform([Send("b", packet), Persist(1, 1, "b", 0, ()), Send("b", packet)])
    assert (len(reactor.sent_datagrams), len(failures), endpoint.is_closed) == (1, 1, True)
    endpoint.perform([Send("b", packet)])
    endpoint.write_datagram(b"x", ADDRESS_B)
    reactor.run(5.0)
    assert len(reactor.sent_datagrams) == 1


def test_follower_endpoint_when_closed_unsubscribes(reactor):
    endpoint = start_follower_endpoint(reactor)
    reactor.sent_datagrams.clear()
    endpoint.close()
    assert isinstance(Codec(KEY, "l").decode(reactor.sent_datagrams[0][0]).message, Unsubscribe)


def test_max_copy_age_when_unlimited_is_cached_until_a_packet_or_tick(reactor):
    endpoint = start_follower_endpoint(reactor)
    endpoint.state_machine.no_age_limit_until = lambda now, grace: 5.0
    assert endpoint.max_copy_age_s(6.0) is None
    queried_graces = []
    endpoint.state_machine.no_age_limit_until = lambda now, grace: queried_graces.append(grace) or 5.0
    reactor.now = 4.9
    assert endpoint.max_copy_age_s(6.0) is None and queried_graces == []
    assert endpoint.max_copy_age_s(7.0) is None and queried_graces == [7.0]
    endpoint.perform([])
    assert endpoint.max_copy_age_s(7.0) is None and queried_graces == [7.0, 7.0]
    reactor.now = 5.0
    assert endpoint.max_copy_age_s(7.0) == pytest.approx(0.94 * 7 - 0.001) and len(queried_graces) == 3
