"""Idle clients fill the descriptors: who still gets one, who is hung up on, and when connections are accepted again.

The system's own limit is set to the number that the configuration names, and descriptors that the router's process
inherits stand for the connections to machines that it does not make here. All that is counted is counted outside of
it: connections and their ends by the test, descriptors and CPU time from /proc of the process that it started.
"""

import errno
import os
import resource
import select
import signal
import socket
import time
from contextlib import ExitStack
from types import SimpleNamespace

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from tests.support.connections import Wire, pool
from tests.support.processes import PATIENT
from tests.support.router_process import OK_FIELDS, RouterHarness
from wickhinge.net.downstream import msgpack
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.downstream.descriptors import (
    CLOSING_DESCRIPTORS,
    LIMIT_REDUCTION,
    MAX_ACCEPTS_PER_TURN,
    MAX_CLOSES_PER_STEP,
    RESERVED_DESCRIPTORS,
    WATCH_DESCRIPTORS,
    Admission,
    descriptor_limits,
)
from wickhinge.net.downstream.listener import Listener
from wickhinge.net.runtime.arrivals import Arrivals
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.loop import Reactor
from wickhinge.net.upstream import resp
from wickhinge.net.upstream.connection_pools import ConnectionPools, PoolSettings

LIMITS = [256, 512, 640, 672]  # as the bench's days name them
SMALL = 64  # the least that a configuration may name
RECONNECT_WITHIN = 1.0  # seconds: a try each 0.15 s, and the turns of a busy machine
WATCHED = 0.5  # seconds of CPU time looked at
SPINNING = 0.5  # of a core, in which a loop that spins would use one
TICK = 1 / os.sysconf("SC_CLK_TCK")


@pytest.fixture
def stand(tmp_path):
    """A router with so many descriptors, of which others hold some."""
    made = []

    def build(limit, held_by_others=0, system_limit=None):
        others = [os.open(os.devnull, os.O_RDONLY) for _ in range(held_by_others)]
        try:
            made.append(
                RouterHarness(
                    tmp_path,
                    change=lambda conf: conf["limits"].update(connectTimeoutMs=400),
                    limits={"memory_mb": 64, "sockets": limit},
                    pass_fds=others,
                    preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, [system_limit or limit] * 2),
                )
            )
        finally:
            for descriptor in others:
                os.close(descriptor)
        return made[0]

    yield build
    for one in made:
        one.close()


def descriptors(made):
    return len(os.listdir(f"/proc/{made.router.child.pid}/fd"))


def cpu_time(made):
    """Seconds of a core that the router has used."""
    with open(f"/proc/{made.router.child.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK


def connect_and_ping(made, count):
    """So many new connections with a ping on each, none of which is waited for."""
    new = []
    for _ in range(count):
        new.append(made.client())
        new[-1].socket.sendall(msgpack.pack([0, 1, "ping", [{}]]))
    return new


def answered(client):
    """Whether its ping is answered; False where the connection ends with no answer."""
    try:
        return client.answer(1)[3][0] is True
    except (AssertionError, ConnectionError):
        return False


def readable(clients, within=0.0):
    look = select.poll()
    found = {client.socket.fileno(): client for client in clients}
    for number in found:
        look.register(number, select.POLLIN)
    return [found[number] for number, _ in look.poll(within * 1000)]


def service_goes(made):
    """The discovery service ends, and its address refuses."""
    address = made.discovery_listener.getsockname()
    made.discovery_listener.close()
    made.watch_connection.close()
    made.router.wait("endpoint_watch_lost")
    return address


def service_returns(made, address):
    """Seconds from its return until the router has come back to it with its last number."""
    made.discovery_listener = made.stack.enter_context(socket.create_server(address))
    made.discovery_listener.settimeout(PATIENT)
    start = time.monotonic()
    made.watch_connection = made.accept_on(made.discovery_listener)
    assert int.from_bytes(made.watch_connection.recv(8)) == made.last_event_number
    return time.monotonic() - start


def visit_is_served(made, client):
    call = client.ask()
    asked = made.accept_connection(0).next_request()
    asked.answer("OK", OK_FIELDS, b"x")
    kind, _, error, _ = client.answer(call)
    return kind == 1 and error is None


@pytest.mark.parametrize("limit", LIMITS)
def test_who_comes_while_idle_clients_fill_the_descriptors_is_answered(stand, limit):
    """All machines' descriptors are held as well. Many connect in one turn, as after a pause of the router."""
    most, new_clients = descriptor_limits(limit), 120
    made = stand(limit, held_by_others=most.upstream)
    address = service_goes(made)
    without_clients = descriptors(made)
    idle = []
    for _ in range(most.clients):  # one after the other, so that it is known who has rested for longest
        idle += connect_and_ping(made, 1)
        assert answered(idle[-1])
    assert readable(idle) == []  # all of them are kept
    made.router.child.send_signal(signal.SIGSTOP)
    new = connect_and_ping(made, new_clients)
    made.router.child.send_signal(signal.SIGCONT)
    counts = []
    for client in new:
        counts.append(descriptors(made))
        assert answered(client)
    assert max(counts) <= without_clients + most.clients + 1  # a try to reach the discovery service
    assert max(counts) < limit - CLOSING_DESCRIPTORS
    closed = [client in readable([client]) for client in idle]
    shed = closed.index(False)
    assert new_clients <= shed < new_clients + MAX_CLOSES_PER_STEP and not any(closed[shed:])  # the oldest, and no more
    assert visit_is_served(made, new[-1])
    assert service_returns(made, address) < RECONNECT_WITHIN


@pytest.mark.parametrize("limit", LIMITS)
def test_where_others_hold_more_than_promised_idle_clients_make_room(stand, limit):
    """The system has no descriptor for a connection that it has accepted, though the budget has."""
    most = descriptor_limits(limit)
    made = stand(limit, held_by_others=most.upstream + 2 * RESERVED_DESCRIPTORS)
    address = service_goes(made)
    clients = connect_and_ping(made, most.clients)
    assert all(answered(client) for client in clients)
    assert descriptors(made) <= limit - WATCH_DESCRIPTORS
    assert visit_is_served(made, clients[-1])
    assert service_returns(made, address) < RECONNECT_WITHIN


@pytest.mark.parametrize("system_limit", [SMALL, SMALL // 2], ids=["budget", "system"])
def test_while_nobody_can_go_connections_wait_and_the_loop_does_not_spin(stand, system_limit):
    """Each client has a visit open, so that none may be hung up on, and the listener stays readable."""
    made = stand(SMALL, system_limit=system_limit)
    clients = []
    while len(clients) < descriptor_limits(SMALL).clients:
        client = made.client()
        client.visit = client.ask(budget="6000")
        if system_limit < SMALL and descriptors(made) >= system_limit - 1:
            break
        clients.append(client)
    box = made.accept_connection(0)
    first = box.next_request()
    new = connect_and_ping(made, 3)
    start = cpu_time(made)
    assert readable(new, WATCHED) == []  # neither answered nor closed
    assert cpu_time(made) - start < WATCHED * SPINNING
    clients.pop().socket.close()  # a descriptor is free
    assert all(answered(client) for client in new)  # the new ones make room for one another once they are answered
    first.answer("OK", OK_FIELDS, b"x")
    assert readable(clients, PATIENT)


def test_a_client_with_its_answer_makes_room_for_one_that_waits(stand):
    made = stand(SMALL)
    clients = [made.client() for _ in range(descriptor_limits(SMALL).clients)]
    calls = [client.ask(budget="6000") for client in clients]
    box = made.accept_connection(0)
    asked = box.next_request()
    [new] = connect_and_ping(made, 1)
    assert readable([new], 0.1) == []
    asked.answer("OK", OK_FIELDS, b"x")
    assert answered(new)
    [served] = readable(clients)
    assert served.answer(calls[clients.index(served)])[2] is None


# Without sockets.


@pytest.mark.parametrize("limit", [SMALL, 256, 384, 512, 640, 672, 1024])
def test_the_roles_never_hold_more_than_the_limit(limit):
    most = descriptor_limits(limit)
    assert most.upstream + most.clients + RESERVED_DESCRIPTORS == limit
    assert most.upstream == limit // 3 <= most.clients or limit == SMALL


def test_connections_being_closed_count_until_their_descriptors_are_free():
    admission = Admission(100)
    for _ in range(100):
        admission.connection_accepted()
    assert admission.available_count() == 0
    assert admission.wanted_close_count() == 1
    admission.clients_closed(1)
    assert admission.available_count() == 0  # the one that was hung up on is not closed yet
    admission.descriptor_freed()
    assert admission.available_count() == 1


def test_more_are_shed_each_time_as_long_as_connections_wait():
    admission = Admission(100)
    for _ in range(100):
        admission.connection_accepted()
    steps = []
    for _ in range(7):
        steps.append(admission.wanted_close_count())
        admission.clients_closed(steps[-1])
        for _ in range(steps[-1]):
            admission.descriptor_freed()
            admission.connection_accepted()
    assert steps == [1, 2, 4, 8, 16, 16, 16]
    admission.backlog_emptied()
    assert admission.wanted_close_count() == 1


def test_one_that_ended_by_itself_and_holds_its_descriptor_on_does_not_keep_others_from_going(listening):
    """As one that still has to take an answer: others make room all the same."""
    made, connect, _ = listening
    client = fill(made, connect)
    made.clients.client_disconnected(client)
    assert made.admission.open_descriptors == 1 and made.admission.wanted_close_count() == 1


def test_a_turn_accepts_few_and_a_system_without_descriptors_lowers_the_bound_for_a_time():
    admission = Admission(100)
    assert admission.available_count() == MAX_ACCEPTS_PER_TURN
    for _ in range(60):
        admission.connection_accepted()
    admission.system_limit_reached()
    assert admission.available_count() == 0 and admission.wanted_close_count() == LIMIT_REDUCTION + 1
    for _ in range(LIMIT_REDUCTION):
        admission.raise_limit()
    assert admission.available_count() == 0
    admission.raise_limit()
    assert admission.available_count() == 1
    for _ in range(100):
        admission.raise_limit()
    assert admission.current_limit == 100


def test_a_client_that_has_not_taken_its_answer_is_not_idle():
    """Hung up on, it would hold its descriptor for as long as it reads nothing."""
    clock = SimpleNamespace(now=lambda: 100.0, arrivals=Arrivals(0.0))
    clients = ClientConnections(None, clock, 9, lambda *_, **more: None)

    class Named(SimpleNamespace):
        __hash__ = object.__hash__

    client = Named(open_requests=(), queued_requests=(), write_queue=(), has_ended=False, is_write_blocked=True)
    clients.update_idle(client)
    assert not clients.idle_since
    client.is_write_blocked = False
    clients.update_idle(client)
    assert client in clients.idle_since


class Reading:
    """A reactor that only knows what it is told to read."""

    def __init__(self):
        self.read = set()
        self.addReader, self.removeReader = self.read.add, self.read.discard
        self.addWriter = self.removeWriter = lambda _: None


@pytest.fixture
def listening():
    """A listener with room for one client, a function that connects, and the calls for the next turn."""
    soon = []
    clock = SimpleNamespace(
        now=lambda: 100.0,
        call_after=lambda *_: None,
        call_soon=lambda call, *told: soon.append(call),
        arrivals=Arrivals(0.0),
    )
    clients = ClientConnections(None, clock, 1, lambda *_, **more: None)
    place = socket.create_server(("127.0.0.1", 0))
    address = place.getsockname()
    place.setblocking(False)
    made = Listener(Reading(), place, clients)
    made.startListening()
    peers = []

    def connect():
        peers.append(socket.create_connection(address))

    yield made, connect, soon
    for one in peers:
        one.close()
    place.close()


def fill(made, connect):
    """The one client that there is room for, and a second that waits."""
    connect()
    connect()
    made.doRead()
    assert made in made.reactor.read
    made.doRead()
    assert made not in made.reactor.read
    [client] = made.clients.connections
    return client


def test_accept_goes_on_as_soon_as_a_descriptor_is_free(listening):
    made, connect, _ = listening
    client = fill(made, connect)
    client.transport.connectionLost(Failure(ConnectionDone()))
    assert made in made.reactor.read
    made.doRead()
    assert len(made.clients.connections) == 1 and client not in made.clients.connections
    assert made.admission.open_descriptors == 1


def test_accept_looks_again_as_soon_as_a_client_rests(listening):
    made, connect, soon = listening
    client = fill(made, connect)
    made.clients.data_received(client, True)  # it had its answer
    assert made not in made.reactor.read  # not within a call of its own
    [make_room, look] = soon
    soon.clear()
    make_room()  # as nobody rested yet; now one does
    assert client.has_ended and made.admission.open_descriptors == 0 and made in made.reactor.read
    look()
    made.doRead()
    assert len(made.clients.connections) == 1 == made.admission.open_descriptors


def test_where_nobody_can_go_the_next_step_is_one_again(listening):
    """Else all that come to rest after a wait would go for one that waits."""
    made, connect, _ = listening
    fill(made, connect)
    for _ in range(5):
        made.resume()
        made.doRead()
    assert made.admission.next_close_count == 1


def test_a_sweep_looks_again_once(listening):
    made, connect, soon = listening
    fill(made, connect)
    soon.clear()
    made.clients.sweep()
    made.clients.sweep()
    assert len(soon) == 1


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EIO])
def test_a_system_that_gives_no_connection_is_not_asked_again_at_once(listening, number):
    """Left readable, the loop would ask again without end."""
    made, _, _ = listening

    def accept():
        raise OSError(number, "no")

    made.socket = SimpleNamespace(accept=accept, fileno=made.socket.fileno)
    made.doRead()
    assert made not in made.reactor.read
    made.clients.schedule_listener_resume()
    made.clients.resume_listener()
    assert made in made.reactor.read


def test_a_connection_that_is_none_any_more_does_not_stop_the_next(listening):
    made, connect, _ = listening
    connect()
    real, ends = made.socket, [ConnectionAbortedError(errno.ECONNABORTED, "gone")]

    def accept():
        if ends:
            raise ends.pop()
        return real.accept()

    made.admission.current_limit = 2
    made.socket = SimpleNamespace(accept=accept, fileno=real.fileno)
    made.doRead()
    assert len(made.clients.connections) == 1


def test_a_fault_with_one_connection_does_not_close_the_listener(listening):
    made, connect, _ = listening
    faults = []
    made.clients.request_table = SimpleNamespace(fault=faults.append)
    made.clients.client_connected = lambda client: 1 / 0
    aborted = []
    made.reactor.callLater = lambda delay, call, *told: aborted.append((call, told))
    connect()
    made.doRead()
    assert faults == ["accept"] and made in made.reactor.read
    [(call, told)] = aborted
    assert made.admission.open_descriptors == 1
    call(*told)
    assert made.admission.open_descriptors == 0


class Connecting:
    """A reactor whose connections never come up."""

    def connectTCP(self, host, port, factory, timeout):
        return SimpleNamespace(state="connecting", stopConnecting=lambda: None, transport=None)


def caches_with(most, machines):
    clock = SimpleNamespace(
        now=lambda: clock.time, call_after=lambda *_: None, call_soon=lambda *_: None, time=100.0, reactor=Connecting()
    )
    made = ConnectionPools(clock, pool()[0], PoolSettings(0.4, 15.0, 100, most), lambda *_, **more: None)
    for mark in range(machines):
        made.add_or_move(mark, str(mark), ("127.0.0.1", 1))
    return made, clock


def connected(caches, clock, mark):
    """A connection to a machine that is up, with nothing open."""
    clock.time += 1.0
    line = caches.pools_by_id[mark].send(b"a", mark, b"")
    line.transport = Wire()
    line.transport.getHandle = lambda: line.transport
    line.connectionMade()
    line.pending.clear()
    return line


def test_the_machine_line_that_rests_for_longest_goes_for_an_attempt_at_a_machine_without_one():
    """Before, the attempt and the probe had no descriptor as long as other machines' connections rested."""
    caches, clock = caches_with(3, machines=4)
    lines = [connected(caches, clock, mark) for mark in range(3)]
    lines[0].pending[b"b"] = 9  # in use
    attempt = caches.pools_by_id[3].send(b"c", 10, b"")
    assert attempt is not None and caches.pools_by_id[3].connections == [attempt]
    assert [line.is_closing for line in lines] == [False, True, False]
    assert caches.open_descriptors == 4  # the one that goes is not closed yet
    lines[1].connectionLost(SimpleNamespace(getErrorMessage=str))
    assert caches.open_descriptors == 3


def test_a_line_whose_peer_takes_nothing_gives_its_descriptor_back():
    """Closed in the ordinary way it waited for its last word to be written, for good."""
    caches, clock = caches_with(3, machines=1)
    line = connected(caches, clock, 0)
    line.transport.room = 0
    line.enqueue(b"", b"STOP")
    line.close()
    assert "abortConnection" in line.transport.calls and "loseConnection" not in line.transport.calls


def test_on_sockets_the_line_that_rests_for_longest_goes_and_the_attempt_arrives():
    reactor = Reactor()
    with ExitStack() as stack:
        places = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(4)]
        deadlines = Deadlines(reactor, [].append)
        caches = ConnectionPools(deadlines, pool()[0], PoolSettings(5.0, 15.0, 100, 3), lambda *_, **more: None)
        for mark, place in enumerate(places):
            caches.add_or_move(mark, str(mark), place.getsockname())

        def until(told):
            end = time.monotonic() + PATIENT
            while not told() and time.monotonic() < end:
                reactor.iterate(0.01)
            assert told()

        def exchange(mark):
            """A request and its answer on a new connection, as the machine has it."""
            line = caches.pools_by_id[mark].send(b"%d" % mark, mark, resp.pack(b"REQ", b"%d" % mark, b"-", b""))
            until(lambda: line.is_up)
            made = stack.enter_context(places[mark].accept()[0])
            made.settimeout(PATIENT)
            assert b"REQ" in made.recv(4096)
            made.sendall(resp.pack(b"%d" % mark, b"OK", b"-", b""))
            until(lambda: not line.pending)
            return made

        peers = [exchange(mark) for mark in range(4)]
        until(lambda: caches.open_descriptors == 3)
        assert peers[0].recv(1) == b""  # the first was closed
        for peer in peers[1:]:
            peer.setblocking(False)
            with pytest.raises(BlockingIOError):
                peer.recv(1)


def test_lines_being_closed_and_tried_are_bounded_too():
    caches, clock = caches_with(3, machines=20)
    for mark in range(3):
        connected(caches, clock, mark)
    attempts = [caches.pools_by_id[mark].send(b"c", mark, b"") for mark in range(3, 20)]
    assert sum(attempt is not None for attempt in attempts) == 3  # none of those in use goes for another
    assert caches.open_descriptors == 6 <= caches.max_connections + CLOSING_DESCRIPTORS
    caches.open_descriptors = caches.max_connections + CLOSING_DESCRIPTORS
    caches.pools_by_id[3].connections.clear()
    assert caches.pools_by_id[3].send(b"d", 30, b"") is None
