"""Idle clients that hold all client descriptors: which of them are closed, and when connections are accepted again.

The descriptor limit of the system is set to the configured number. Descriptors that the router process inherits stand
for connections to servers that the tests do not make. All figures are taken from outside of the router: connections and
their ends by the test, descriptors and CPU time from /proc.
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

from tests.support.connections import FakeSocket, make_buffer_pool
from tests.support.processes import TIMEOUT_S
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
from wickhinge.net.runtime.memory_budget import BYTES_PER_MB, MemoryBudget
from wickhinge.net.upstream import resp
from wickhinge.net.upstream.connection_pools import ConnectionPools, PoolSettings

# Descriptor limits that the benchmark scenarios configure.
LIMITS = [256, 512, 640, 672]
# The smallest descriptor limit that a configuration may have.
MIN_LIMIT = 64
# Seconds within which the router reconnects to the discovery service: it tries every 0.15 s, and the host may be busy.
RECONNECT_WITHIN_S = 1.0
# Seconds for which the CPU time of the router is measured.
CPU_WINDOW_S = 0.5
# CPU time, as a share of a core, that the router must not use while it waits; a spinning event loop uses all of it.
MAX_CPU_SHARE = 0.5
# Seconds of one clock tick in /proc.
CLOCK_TICK_S = 1 / os.sysconf("SC_CLK_TCK")


@pytest.fixture
def stand(tmp_path):
    """Start a router with a descriptor limit, of which inherited descriptors may take a part."""
    started = []

    def build(limit, held_by_others=0, system_limit=None):
        inherited = [os.open(os.devnull, os.O_RDONLY) for _ in range(held_by_others)]
        try:
            started.append(
                RouterHarness(
                    tmp_path,
                    change=lambda conf: conf["limits"].update(connectTimeoutMs=400),
                    limits={"memory_mb": 64, "sockets": limit},
                    pass_fds=inherited,
                    preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, [system_limit or limit] * 2),
                )
            )
        finally:
            for descriptor in inherited:
                os.close(descriptor)
        return started[0]

    yield build
    for harness in started:
        harness.close()


def count_descriptors(harness):
    """Return how many descriptors the router process holds."""
    return len(os.listdir(f"/proc/{harness.router.child.pid}/fd"))


def cpu_time(harness):
    """Return the seconds of CPU time that the router process has used."""
    with open(f"/proc/{harness.router.child.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * CLOCK_TICK_S


def connect_and_ping(harness, count):
    """Open `count` connections, send a ping on each, and return the clients without waiting for answers."""
    new = []
    for _ in range(count):
        new.append(harness.client())
        new[-1].socket.sendall(msgpack.pack([0, 1, "ping", [{}]]))
    return new


def is_ping_answered(client):
    """Wait for the answer to the first ping of a client; return False if the connection ends without one."""
    try:
        return client.answer(1)[3][0] is True
    except (AssertionError, ConnectionError):
        return False


def readable(clients, within=0.0):
    """Return the clients with an answer or a closed connection to read, waiting up to `within` seconds for one."""
    poller = select.poll()
    clients_by_descriptor = {client.socket.fileno(): client for client in clients}
    for descriptor in clients_by_descriptor:
        poller.register(descriptor, select.POLLIN)
    return [clients_by_descriptor[descriptor] for descriptor, _ in poller.poll(within * 1000)]


def stop_discovery_service(harness):
    """End the discovery service, so that its address refuses connections; return the address."""
    address = harness.discovery_listener.getsockname()
    harness.discovery_listener.close()
    harness.watch_connection.close()
    harness.router.wait("endpoint_watch_lost")
    return address


def restart_discovery_service(harness, address):
    """Start the discovery service again; return the seconds until the router resumes with its last event number."""
    harness.discovery_listener = harness.stack.enter_context(socket.create_server(address))
    harness.discovery_listener.settimeout(TIMEOUT_S)
    start = time.monotonic()
    harness.watch_connection = harness.accept_on(harness.discovery_listener)
    assert int.from_bytes(harness.watch_connection.recv(8)) == harness.last_event_number
    return time.monotonic() - start


def is_request_served(harness, client):
    """Send a request, answer it as the cache, and return whether the client gets the answer."""
    call_id = client.ask()
    cache_request = harness.accept_connection(0).next_request()
    cache_request.answer("OK", OK_FIELDS, b"x")
    kind, _, error, _ = client.answer(call_id)
    return kind == 1 and error is None


@pytest.mark.parametrize("limit", LIMITS)
def test_new_clients_when_idle_clients_hold_all_descriptors_are_answered(stand, limit):
    """All descriptors for servers are taken as well, and many clients connect in one turn, as after a stall."""
    most, new_clients = descriptor_limits(limit), 120
    harness = stand(limit, held_by_others=most.upstream)
    address = stop_discovery_service(harness)
    without_clients = count_descriptors(harness)
    idle = []
    for _ in range(most.clients):  # The clients become idle in this order.
        idle += connect_and_ping(harness, 1)
        assert is_ping_answered(idle[-1])
    assert readable(idle) == []  # No idle client is closed yet.
    harness.router.child.send_signal(signal.SIGSTOP)
    new = connect_and_ping(harness, new_clients)
    harness.router.child.send_signal(signal.SIGCONT)
    counts = []
    for client in new:
        counts.append(count_descriptors(harness))
        assert is_ping_answered(client)
    # The router may also hold a descriptor of an attempt to connect to the discovery service.
    assert max(counts) <= without_clients + most.clients + 1
    assert max(counts) < limit - CLOSING_DESCRIPTORS
    closed = [client in readable([client]) for client in idle]
    closed_count = closed.index(False)
    # Only the clients that have been idle for longest are closed.
    assert new_clients <= closed_count < new_clients + MAX_CLOSES_PER_STEP and not any(closed[closed_count:])
    assert is_request_served(harness, new[-1])
    assert restart_discovery_service(harness, address) < RECONNECT_WITHIN_S


@pytest.mark.parametrize("limit", LIMITS)
def test_idle_clients_when_other_descriptors_exceed_their_share_are_closed(stand, limit):
    """The system has no descriptor for a waiting connection, although the router's own limit allows it."""
    most = descriptor_limits(limit)
    harness = stand(limit, held_by_others=most.upstream + 2 * RESERVED_DESCRIPTORS)
    address = stop_discovery_service(harness)
    clients = connect_and_ping(harness, most.clients)
    assert all(is_ping_answered(client) for client in clients)
    assert count_descriptors(harness) <= limit - WATCH_DESCRIPTORS
    assert is_request_served(harness, clients[-1])
    assert restart_discovery_service(harness, address) < RECONNECT_WITHIN_S


@pytest.mark.parametrize("system_limit", [MIN_LIMIT, MIN_LIMIT // 2], ids=["budget", "system"])
def test_new_connections_when_no_client_is_idle_wait_without_a_spinning_loop(stand, system_limit):
    """Each client has an open request, so that none may be closed, and the listener stays readable."""
    harness = stand(MIN_LIMIT, system_limit=system_limit)
    clients = []
    while len(clients) < descriptor_limits(MIN_LIMIT).clients:
        client = harness.client()
        client.call_id = client.ask(budget="6000")
        if system_limit < MIN_LIMIT and count_descriptors(harness) >= system_limit - 1:
            break
        clients.append(client)
    cache = harness.accept_connection(0)
    first = cache.next_request()
    new = connect_and_ping(harness, 3)
    start = cpu_time(harness)
    assert readable(new, CPU_WINDOW_S) == []  # The new connections are neither answered nor closed.
    assert cpu_time(harness) - start < CPU_WINDOW_S * MAX_CPU_SHARE
    clients.pop().socket.close()  # The closed connection frees a descriptor.
    assert all(is_ping_answered(client) for client in new)  # An answered client is closed for the next one.
    first.answer("OK", OK_FIELDS, b"x")
    assert readable(clients, TIMEOUT_S)


def test_client_when_answered_is_closed_for_a_waiting_connection(stand):
    harness = stand(MIN_LIMIT)
    clients = [harness.client() for _ in range(descriptor_limits(MIN_LIMIT).clients)]
    call_ids = [client.ask(budget="6000") for client in clients]
    cache = harness.accept_connection(0)
    cache_request = cache.next_request()
    [new] = connect_and_ping(harness, 1)
    assert readable([new], 0.1) == []
    cache_request.answer("OK", OK_FIELDS, b"x")
    assert is_ping_answered(new)
    [served] = readable(clients)
    assert served.answer(call_ids[clients.index(served)])[2] is None


# Tests of single objects without a router process.


@pytest.mark.parametrize("limit", [MIN_LIMIT, 256, 384, 512, 640, 672, 1024])
def test_descriptor_limits_of_all_roles_add_up_to_the_limit(limit):
    most = descriptor_limits(limit)
    assert most.upstream + most.clients + RESERVED_DESCRIPTORS == limit
    assert most.upstream == limit // 3 <= most.clients or limit == MIN_LIMIT


def test_closed_connections_count_until_their_descriptors_are_free():
    admission = Admission(100)
    for _ in range(100):
        admission.connection_accepted()
    assert admission.available_count() == 0
    assert admission.wanted_close_count() == 1
    admission.clients_closed(1)
    assert admission.available_count() == 0  # The closed connection still holds its descriptor.
    admission.descriptor_freed()
    assert admission.available_count() == 1


def test_close_count_while_connections_wait_is_doubled_each_time():
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


def test_ended_connection_that_still_holds_its_descriptor_does_not_stop_others_from_being_closed(listening):
    """The connection may hold its descriptor because an answer is still being written on it."""
    listener, connect, _ = listening
    client = fill(listener, connect)
    listener.clients.client_disconnected(client)
    assert listener.admission.open_descriptors == 1 and listener.admission.wanted_close_count() == 1


def test_accepts_per_turn_are_bounded_and_a_lack_of_descriptors_lowers_the_limit_for_a_time():
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


def test_client_with_an_unwritten_answer_is_not_idle():
    """Closing it would not free its descriptor as long as the client reads nothing."""
    clock = SimpleNamespace(now=lambda: 100.0, arrivals=Arrivals(0.0))
    clients = ClientConnections(None, clock, 9, lambda *_, **more: None, MemoryBudget(BYTES_PER_MB))

    class HashableNamespace(SimpleNamespace):
        __hash__ = object.__hash__

    client = HashableNamespace(
        open_requests=(), queued_requests=(), write_queue=(), has_ended=False, is_write_blocked=True
    )
    clients.update_idle(client)
    assert not clients.idle_since
    client.is_write_blocked = False
    clients.update_idle(client)
    assert client in clients.idle_since


class ReadingReactor:
    """A reactor that only records which descriptors are to be watched for reading."""

    def __init__(self):
        self.reading = set()
        self.addReader, self.removeReader = self.reading.add, self.reading.discard
        self.addWriter = self.removeWriter = lambda _: None


@pytest.fixture
def listening():
    """A listener for one client at most, a function that connects a client, and the calls for the next turn."""
    soon = []
    clock = SimpleNamespace(
        now=lambda: 100.0,
        call_after=lambda *_: None,
        call_soon=lambda call, *arguments: soon.append(call),
        arrivals=Arrivals(0.0),
    )
    clients = ClientConnections(None, clock, 1, lambda *_, **more: None, MemoryBudget(BYTES_PER_MB))
    server_socket = socket.create_server(("127.0.0.1", 0))
    address = server_socket.getsockname()
    server_socket.setblocking(False)
    listener = Listener(ReadingReactor(), server_socket, clients)
    listener.startListening()
    peers = []

    def connect():
        peers.append(socket.create_connection(address))

    yield listener, connect, soon
    for peer in peers:
        peer.close()
    server_socket.close()


def fill(listener, connect):
    """Connect the one client that the listener accepts and a second one that waits; return the first."""
    connect()
    connect()
    listener.doRead()
    assert listener in listener.reactor.reading
    listener.doRead()
    assert listener not in listener.reactor.reading
    [client] = listener.clients.connections
    return client


def test_listener_when_a_descriptor_is_freed_accepts_again(listening):
    listener, connect, _ = listening
    client = fill(listener, connect)
    client.transport.connectionLost(Failure(ConnectionDone()))
    assert listener in listener.reactor.reading
    listener.doRead()
    assert len(listener.clients.connections) == 1 and client not in listener.clients.connections
    assert listener.admission.open_descriptors == 1


def test_listener_when_a_client_becomes_idle_accepts_again(listening):
    listener, connect, soon = listening
    client = fill(listener, connect)
    listener.clients.data_received(client, True)  # This message makes the client idle: it has no open request.
    assert listener not in listener.reactor.reading  # The listener does not resume within a call of the client.
    [free_descriptors, resume_listener] = soon
    soon.clear()
    free_descriptors()  # One client is idle now, and is closed.
    assert client.has_ended and listener.admission.open_descriptors == 0 and listener in listener.reactor.reading
    resume_listener()
    listener.doRead()
    assert len(listener.clients.connections) == 1 == listener.admission.open_descriptors


def test_close_count_when_no_client_could_be_closed_is_one_again(listening):
    """Otherwise all clients that become idle after a long wait would be closed for one waiting connection."""
    listener, connect, _ = listening
    fill(listener, connect)
    for _ in range(5):
        listener.resume()
        listener.doRead()
    assert listener.admission.next_close_count == 1


def test_two_sweeps_resume_the_listener_once(listening):
    listener, connect, soon = listening
    fill(listener, connect)
    soon.clear()
    listener.clients.sweep()
    listener.clients.sweep()
    assert len(soon) == 1


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EIO])
def test_accept_when_it_keeps_failing_is_not_retried_at_once(listening, number):
    """If the listener were still watched, the event loop would call accept without end."""
    listener, _, _ = listening

    def accept():
        raise OSError(number, "no")

    listener.socket = SimpleNamespace(
        accept=accept, fileno=listener.socket.fileno, getsockopt=listener.socket.getsockopt
    )
    listener.doRead()
    assert listener not in listener.reactor.reading
    listener.clients.schedule_listener_resume()
    listener.clients.resume_listener()
    assert listener in listener.reactor.reading


def test_accept_when_one_connection_was_aborted_goes_on_with_the_next(listening):
    listener, connect, _ = listening
    connect()
    real_socket, errors = listener.socket, [ConnectionAbortedError(errno.ECONNABORTED, "gone")]

    def accept():
        if errors:
            raise errors.pop()
        return real_socket.accept()

    listener.admission.current_limit = 2
    listener.socket = SimpleNamespace(accept=accept, fileno=real_socket.fileno)
    listener.doRead()
    assert len(listener.clients.connections) == 1


def test_listener_when_serving_a_connection_raises_stays_open(listening):
    listener, connect, _ = listening
    faults = []
    listener.clients.request_table = SimpleNamespace(report_fault=faults.append)
    listener.clients.client_connected = lambda client: 1 / 0
    aborted = []
    listener.reactor.callLater = lambda delay, call, *arguments: aborted.append((call, arguments))
    connect()
    listener.doRead()
    assert faults == ["accept"] and listener in listener.reactor.reading
    [(call, arguments)] = aborted
    assert listener.admission.open_descriptors == 1
    call(*arguments)
    assert listener.admission.open_descriptors == 0


class ConnectingReactor:
    """A reactor whose connections are never established."""

    def connectTCP(self, host, port, factory, timeout):
        return SimpleNamespace(state="connecting", stopConnecting=lambda: None, transport=None)


def pools_with(max_connections, server_count):
    """Return the pools of some servers, which share a limit on connections, and their clock."""
    clock = SimpleNamespace(
        now=lambda: clock.time,
        call_after=lambda *_: None,
        call_soon=lambda *_: None,
        time=100.0,
        reactor=ConnectingReactor(),
    )
    pools = ConnectionPools(
        clock, make_buffer_pool()[0], PoolSettings(0.4, 15.0, 100, max_connections), lambda *_, **more: None
    )
    for server_id in range(server_count):
        pools.add_or_move(server_id, str(server_id), ("127.0.0.1", 1))
    return pools, clock


def establish_connection(pools, clock, server_id):
    """Return an idle connection to a server, which becomes idle a second later than the one before it."""
    clock.time += 1.0
    connection = pools.pools_by_id[server_id].send(b"a", server_id, b"")
    connection.transport = FakeSocket()
    connection.transport.getHandle = lambda: connection.transport
    connection.connectionMade()
    connection.pending.clear()
    return connection


def test_longest_idle_server_connection_is_closed_for_an_attempt_at_a_server_without_one():
    """Otherwise attempts and probes fail for lack of a descriptor while connections to other servers are idle."""
    pools, clock = pools_with(3, server_count=4)
    connections = [establish_connection(pools, clock, server_id) for server_id in range(3)]
    connections[0].pending[b"b"] = 9  # This connection has an open request.
    attempt = pools.pools_by_id[3].send(b"c", 10, b"")
    assert attempt is not None and pools.pools_by_id[3].connections == [attempt]
    assert [connection.is_closing for connection in connections] == [False, True, False]
    assert pools.open_descriptors == 4  # The connection being closed counts until its descriptor is free.
    connections[1].connectionLost(SimpleNamespace(getErrorMessage=str))
    assert pools.open_descriptors == 3


def test_server_connection_when_its_peer_reads_nothing_is_aborted_on_close():
    """A regular close would wait forever for the last message to be written."""
    pools, clock = pools_with(3, server_count=1)
    connection = establish_connection(pools, clock, 0)
    connection.transport.room = 0
    connection.enqueue(b"", b"STOP")
    connection.close()
    assert "abortConnection" in connection.transport.calls and "loseConnection" not in connection.transport.calls


def test_longest_idle_server_connection_on_real_sockets_is_closed_and_the_attempt_arrives():
    reactor = Reactor()
    with ExitStack() as stack:
        listeners = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(4)]
        deadlines = Deadlines(reactor, [].append)
        pools = ConnectionPools(
            deadlines, make_buffer_pool()[0], PoolSettings(5.0, 15.0, 100, 3), lambda *_, **more: None
        )
        for server_id, listener in enumerate(listeners):
            pools.add_or_move(server_id, str(server_id), listener.getsockname())

        def wait_until(is_true):
            end = time.monotonic() + TIMEOUT_S
            while not is_true() and time.monotonic() < end:
                reactor.iterate(0.01)
            assert is_true()

        def exchange(server_id):
            """Exchange a request and its answer on a new connection; return the server's end of the connection."""
            connection = pools.pools_by_id[server_id].send(
                b"%d" % server_id, server_id, resp.pack(b"REQ", b"%d" % server_id, b"-", b"")
            )
            wait_until(lambda: connection.is_up)
            server_end = stack.enter_context(listeners[server_id].accept()[0])
            server_end.settimeout(TIMEOUT_S)
            assert b"REQ" in server_end.recv(4096)
            server_end.sendall(resp.pack(b"%d" % server_id, b"OK", b"-", b""))
            wait_until(lambda: not connection.pending)
            return server_end

        peers = [exchange(server_id) for server_id in range(4)]
        wait_until(lambda: pools.open_descriptors == 3)
        assert peers[0].recv(1) == b""  # The first connection was closed.
        for peer in peers[1:]:
            peer.setblocking(False)
            with pytest.raises(BlockingIOError):
                peer.recv(1)


def test_server_connections_being_closed_or_established_are_bounded():
    pools, clock = pools_with(3, server_count=20)
    for server_id in range(3):
        establish_connection(pools, clock, server_id)
    attempts = [pools.pools_by_id[server_id].send(b"c", server_id, b"") for server_id in range(3, 20)]
    assert sum(attempt is not None for attempt in attempts) == 3  # No connection in use is closed for another.
    assert pools.open_descriptors == 6 <= pools.max_connections + CLOSING_DESCRIPTORS
    pools.open_descriptors = pools.max_connections + CLOSING_DESCRIPTORS
    pools.pools_by_id[3].connections.clear()
    assert pools.pools_by_id[3].send(b"d", 30, b"") is None
