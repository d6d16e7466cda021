"""Which clients are throttled, and in which order and for how long they are read; without sockets."""

import socket
from types import SimpleNamespace

import pytest

from wickhinge.net.downstream.fair_reading import (
    BUSY_AFTER_S,
    MAX_READS_PER_TURN,
    MAX_TURN_BURST_S,
    MAX_TURN_SHARE,
    MAX_UNDRAINED_S,
    PAUSE_S,
    THROTTLE_ABOVE_S,
    FairReading,
)
from wickhinge.net.downstream.loop_usage import ClientUsage

POLL_S = 0.0001  # Seconds that the other events of a turn of the event loop take.


class World:
    """A clock and timers that the test moves on."""

    def __init__(self):
        self.time, self.timers = 1000.0, []
        self.arrivals = SimpleNamespace(idle_at=self.time, earliest_arrival_at=self.time)
        self.fair_reading = FairReading(self)

    def now(self):
        return self.time

    def call_after(self, delay, call):
        self.timers.append((self.time + delay, call))

    def call_soon(self, call):
        self.timers.append((self.time + POLL_S, call))

    def run(self, seconds):
        """Call the timers for some seconds."""
        ends_at = self.time + seconds
        while self.timers and self.timers[0][0] <= ends_at:
            due_at, call = self.timers.pop(0)
            self.time = max(self.time, due_at)
            self.arrivals.earliest_arrival_at = self.time
            call()
        self.time = ends_at


class BusyClient:
    """A client whose socket always holds data; handling one read takes `cost_s`."""

    def __init__(self, world, cost_s=0.001):
        self.world, self.cost_s, self.usage, self.reads, self.calls = world, cost_s, ClientUsage(), 0, []
        self.has_ended = self.is_throttled = self.is_socket_drained = self.is_blocked = False
        self.transport = SimpleNamespace(
            pauseProducing=lambda: self.calls.append("pause"), resumeProducing=lambda: self.calls.append("resume")
        )
        self.socket, self.peer = socket.socketpair()
        self.drained_until, self.open_requests = world.time, {}

    def hung_up(self):
        self.calls.append("hung up")
        self.has_ended = True
        self.world.fair_reading.release(self)

    def work(self, seconds):
        self.usage.add(self.world.time, self.world.time + seconds)
        self.world.time += seconds
        self.world.fair_reading.throttle_if_heavy(self)

    def read_turn(self):
        self.reads += 1
        self.usage.read_bytes += 0 if self.is_socket_drained else 100
        self.work(self.cost_s)

    def has_unread_answers(self):
        return self.is_blocked

    is_read_blocked = has_unread_answers


@pytest.fixture
def world():
    return World()


def test_client_is_throttled_only_while_the_loop_is_busy(world):
    client = BusyClient(world)
    client.work(2 * THROTTLE_ABOVE_S)
    assert not client.is_throttled
    world.time += BUSY_AFTER_S
    client.work(0.0001)
    assert client.is_throttled and client.calls == ["pause"]


def test_client_that_has_used_little_is_not_throttled_while_the_loop_is_busy(world):
    client = BusyClient(world)
    world.time += BUSY_AFTER_S
    client.work(0.5 * THROTTLE_ABOVE_S)
    assert not client.is_throttled


def test_throttled_client_is_released_once_it_is_drained_and_light(world):
    client = BusyClient(world, cost_s=0.0)
    world.fair_reading.throttle(client)
    world.run(0.1)
    assert client.is_throttled  # Its socket still holds data.
    client.is_socket_drained = True
    world.run(0.1)
    assert not client.is_throttled and client.calls == ["pause", "resume"] and not world.fair_reading.throttled


def test_ended_client_is_watched_again_so_that_its_end_is_noticed(world):
    client = BusyClient(world)
    world.fair_reading.throttle(client)
    client.has_ended = True
    world.run(0.1)
    assert client.calls == ["pause", "resume"]


def test_throttled_client_that_has_left_is_ended_without_reading_what_it_sent_before(world):
    """Connections that their clients had closed held all descriptors, so that no other client was accepted."""
    client = BusyClient(world, cost_s=0.005)
    client.peer.send(b"unread")
    world.fair_reading.throttle(client)
    world.run(0.1)
    assert "hung up" not in client.calls
    client.peer.close()
    world.run(0.1)
    assert client.calls == ["pause", "hung up", "resume"] and not world.fair_reading.throttled


def test_client_that_long_sent_faster_than_it_was_read_may_be_closed_unless_a_request_of_it_is_open(world):
    """Such clients held all descriptors, so that no other client was accepted."""
    heavy, heaviest = BusyClient(world), BusyClient(world)
    for client in (heavy, heaviest):
        client.usage.add(world.time - (0.1 if client is heaviest else 0.05), world.time)
        world.fair_reading.throttle(client)
    assert world.fair_reading.heaviest_undrained() is None
    world.time += MAX_UNDRAINED_S
    assert world.fair_reading.heaviest_undrained() in (heavy, heaviest)
    heaviest.usage.add(world.time - 0.1, world.time)
    assert world.fair_reading.heaviest_undrained() is heaviest
    heaviest.open_requests[1] = None
    assert world.fair_reading.heaviest_undrained() is heavy
    heavy.is_socket_drained = True
    assert world.fair_reading.heaviest_undrained() is None


def test_turns_that_find_nothing_to_read_pause_so_that_the_loop_can_be_idle(world):
    """A client was throttled for the time that its own turns took, and the loop was busy with nothing for seconds."""
    client = BusyClient(world, cost_s=0.0001)
    client.usage.add(world.time - 0.1, world.time)
    world.fair_reading.throttle(client)
    client.is_socket_drained = True
    world.time += BUSY_AFTER_S  # The loop is busy.
    world.run(0.1)
    assert client.reads <= 0.1 / PAUSE_S + 2
    world.arrivals.idle_at = world.time
    world.run(2 * PAUSE_S)
    assert not client.is_throttled


def test_clients_that_may_not_be_read_take_no_turn_from_the_others(world):
    """They had waited for longest, or used least, and filled each turn, so that others were read too late or never."""
    usual = BusyClient(world)
    usual.usage.add(world.time - 0.9, world.time)
    blocked = [BusyClient(world) for _ in range(2 * MAX_READS_PER_TURN)]
    for client in blocked:
        client.is_blocked = True
        world.fair_reading.throttle(client)
    world.run(0.3)
    world.fair_reading.throttle(usual)
    world.run(0.3)
    assert usual.reads > 0


def test_client_that_has_used_much_is_read_before_its_requests_are_lost(world):
    """Beside a crowd of light clients it was never their turn, and requests were answered after 0.6 s and more."""
    usual = BusyClient(world)
    usual.usage.add(world.time - 0.9, world.time)
    for client in [usual] + [BusyClient(world) for _ in range(30)]:
        world.fair_reading.throttle(client)
    world.run(0.4)
    assert usual.reads > 0


@pytest.mark.parametrize("count", [1, 8, 300])
def test_throttled_clients_together_get_their_share_and_each_an_equal_part(world, count):
    """A share for each client would not bound what hundreds of them use together."""
    clients = [BusyClient(world) for _ in range(count)]
    for client in clients:
        world.fair_reading.throttle(client)
    seconds = 10.0
    world.run(seconds)
    used_s = sum(client.reads * client.cost_s for client in clients)
    assert used_s <= MAX_TURN_SHARE * seconds + 2 * MAX_TURN_BURST_S
    assert used_s >= 0.3 * seconds
    reads = [client.reads for client in clients]
    assert min(reads) > 0 and max(reads) <= 2 * min(reads) + 2


def test_client_that_has_used_least_is_read_first(world):
    heavy, light = (
        BusyClient(world, cost_s=0.005),
        BusyClient(world, cost_s=0.005),
    )  # One read lasts longer than a turn.
    heavy.usage.add(world.time - 0.1, world.time)
    world.fair_reading.throttle(heavy)
    world.fair_reading.throttle(light)
    while light.usage.recent_at(world.time) < 0.05:
        world.run(0.001)
    assert light.reads > 0 and heavy.reads == 0


def test_client_with_unread_answers_is_throttled_and_not_read_until_it_reads_them(world):
    """Answers to pings were queued without a bound: a process of 33 MB grew to 240 MB in 40 s."""
    client = BusyClient(world)
    client.is_blocked = True
    client.work(0.0)
    world.run(1.0)
    assert client.is_throttled and client.reads == 0
    client.is_blocked = False
    world.run(1.0)
    assert client.reads > 0


def test_turns_pause_when_the_loop_has_long_not_waited_for_events(world):
    """Without a wait, the earliest arrival of new data is not known, and its request would be taken for old."""
    client = BusyClient(world, cost_s=0.0)
    world.fair_reading.throttle(client)
    world.timers.pop()
    world.time += 1.0
    world.fair_reading._take_turn()
    assert [round(due_at - world.time, 6) for due_at, _ in world.timers] == [PAUSE_S]
