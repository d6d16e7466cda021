"""Test of how often the router's peer transport computes its view of the whole roster."""

from tests.support.peers import roster_entries
from wickhinge.peers.roster import Roster

KEY = b"k" * 32


def test_the_view_when_the_transport_ticks_is_computed_once_per_view_interval():
    from types import SimpleNamespace

    from wickhinge.net.control import peer_transport

    now, calls = [100.0], []
    node = SimpleNamespace(
        deadlines=SimpleNamespace(call_after=lambda delay, call: calls.append(call)),
        log=SimpleNamespace(event=lambda event, **fields: None),
    )
    real_clock, peer_transport.clock = peer_transport.clock, lambda: now[0]
    try:
        transport = peer_transport.PeerTransport(node, Roster(roster_entries(3), "n0"), [KEY], 1)
        view_times, view = [], transport.detector.view
        transport.detector.view = lambda when: view_times.append(when) or view(when)
        transport.transport = SimpleNamespace(write=lambda data, address: None)
        transport.tick()
        for _ in range(40):
            now[0] += peer_transport.TICK_INTERVAL_S
            calls.pop()()
    finally:
        peer_transport.clock = real_clock
    assert 4 <= len(view_times) <= 5
