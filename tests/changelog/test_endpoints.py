"""The change log: endpoints on sockets, without processes."""

import errno

import pytest

from tests.support.changelog_endpoints import (
    HERE,
    NEXT_KEY,
    THERE,
    Consumer,
    datagram,
    entry,
    follower_endpoint,
    relay_endpoint,
    replica_endpoint,
)
from tests.support.changelog_log import KEY
from wickhinge.changelog.codec import Codec
from wickhinge.changelog.effects import Apply, Persist, Send
from wickhinge.changelog.entries import Noop
from wickhinge.changelog.messages import Packet, Unsubscribe
from wickhinge.changelog.storage import MemoryStorage


def test_endpoint_when_keys_change_opens_both_and_seals_with_the_first(sockets):
    node = relay_endpoint(sockets)
    node.datagramReceived(datagram(NEXT_KEY), THERE)
    assert node.counters.unreadable == 1
    node.use_keys([NEXT_KEY, KEY])
    node.datagramReceived(datagram(NEXT_KEY), THERE)
    node.datagramReceived(datagram(KEY), THERE)
    assert node.counters.unreadable == 1
    sockets.sent.clear()
    sockets.run(5.0)
    assert sockets.sent and all(Codec(NEXT_KEY, "a").decode(data) for data, to in sockets.sent if to == HERE)


def test_endpoint_when_the_socket_is_full_loses_a_datagram_and_nothing_else(sockets):
    node = relay_endpoint(sockets)
    sockets.failing = errno.EAGAIN
    sockets.run(1.0)
    unsent = node.counters.unsent
    assert unsent > 0 and not node.fault_count
    sockets.failing = None
    sockets.sent.clear()
    sockets.run(3.0)
    assert node.counters.unsent == unsent and sockets.sent


def test_endpoint_when_it_stood_still_goes_on_at_its_pace(sockets):
    node = relay_endpoint(sockets)
    ticks = []
    node.after_tick = lambda: ticks.append(sockets.now)
    sockets.run(1.001)
    assert len(ticks) in (20, 21)
    calls, sockets.calls = sockets.calls, []
    sockets.now = 9.0  # the process stood still
    calls[0][1]()
    sockets.run(9.101)
    assert [now for now in ticks if now >= 9.0] == pytest.approx([9.0, 9.05, 9.1])


def test_datagrams_when_over_the_maximum_per_tick_are_dropped(sockets, monkeypatch):
    monkeypatch.setattr("wickhinge.changelog.endpoint.MAX_DATAGRAMS_PER_TICK", 10)
    node = relay_endpoint(sockets)
    for _ in range(25):
        node.datagramReceived(b"x", THERE)
    assert (node.counters.over_limit, node.counters.unreadable) == (15, 10)
    sockets.run(0.06)
    node.datagramReceived(b"x", THERE)
    assert node.counters.over_limit == 15


def test_follower_endpoint_when_its_consumer_raises_is_uninformed(sockets):
    def fail(entry):
        raise ValueError("planted")

    events = []
    node = follower_endpoint(sockets, Consumer(fail), log=lambda event, **fields: events.append(event))
    node.state_machine.is_uninformed = lambda now: bool(node.state_machine.unapplied_changes)
    node.perform([Send("l", Packet("n", 2, 2, 0, 0, 0, Unsubscribe()))])
    assert not node.state_machine.is_uninformed(0.0)
    node.perform([Apply(entry(1, Noop()))])
    assert node.state_machine.is_uninformed(0.0) and events == ["changelog_fault"] and node.fault_count == 1


def test_endpoint_when_a_step_raises_goes_on_with_ticks_and_packets(sockets):
    node = relay_endpoint(sockets)

    def fail(*given):
        raise ValueError("planted")

    receive, node.state_machine.receive = node.state_machine.receive, fail
    node.datagramReceived(datagram(KEY), THERE)
    assert node.fault_count == 1
    node.state_machine.receive = receive
    tick, node.state_machine.tick = node.state_machine.tick, fail
    sockets.run(0.2)
    node.state_machine.tick = tick
    sockets.sent.clear()
    sockets.run(3.0)
    assert node.fault_count > 2 and sockets.sent


class FailingStorage(MemoryStorage):
    def persist(self, effect):
        raise MemoryError("planted")


def test_replica_endpoint_when_storage_fails_sends_nothing_more(sockets):
    """Also where it fails by a defect of ours."""
    failures = []
    node = replica_endpoint(sockets, FailingStorage(), on_storage_failure=failures.append)
    packet = Packet("a", 2, 2, 0, 0, 0, Unsubscribe())
    sockets.sent.clear()
    node.perform([Send("b", packet), Persist(1, 1, "b", 0, ()), Send("b", packet)])
    assert (len(sockets.sent), len(failures), node.is_closed) == (1, 1, True)
    node.perform([Send("b", packet)])
    node.write_datagram(b"x", THERE)
    sockets.run(5.0)
    assert len(sockets.sent) == 1


def test_follower_endpoint_when_closed_unsubscribes(sockets):
    node = follower_endpoint(sockets)
    sockets.sent.clear()
    node.close()
    assert isinstance(Codec(KEY, "l").decode(sockets.sent[0][0]).message, Unsubscribe)


def test_max_copy_age_when_unlimited_is_cached_until_a_packet_or_tick(sockets):
    node = follower_endpoint(sockets)
    node.state_machine.no_age_limit_until = lambda now, grace: 5.0
    assert node.max_copy_age_s(6.0) is None
    asked = []
    node.state_machine.no_age_limit_until = lambda now, grace: asked.append(grace) or 5.0
    sockets.now = 4.9
    assert node.max_copy_age_s(6.0) is None and asked == []
    assert node.max_copy_age_s(7.0) is None and asked == [7.0]
    node.perform([])
    assert node.max_copy_age_s(7.0) is None and asked == [7.0, 7.0]
    sockets.now = 5.0
    assert node.max_copy_age_s(7.0) == pytest.approx(0.94 * 7 - 0.001) and len(asked) == 3
