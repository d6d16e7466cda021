"""A connection to a machine without a socket."""

from types import SimpleNamespace

from wickhinge.clocks import RemoteClock
from wickhinge.net.control import endpoint_watch
from wickhinge.net.runtime.arrivals import Arrivals
from wickhinge.net.runtime.buffers import BufferPool
from wickhinge.net.upstream.attempts import AttemptPorts, Attempts
from wickhinge.net.upstream.connection_pools import ConnectionPools, PoolSettings, UpstreamConnection


def make_attempts(pools, faults=None, **ports):
    """Attempts over these pools, with no decisions unless they are given."""
    ports = {"decisions": None, "others_time": RemoteClock(), **ports}
    return Attempts(pools, pools.deadlines, AttemptPorts(**ports), 0.25, [].append if faults is None else faults.append)


def make_buffer_pool(limit=8):
    told = []
    made = BufferPool(limit, lambda: told.append("stop"), lambda: told.append("go"))
    return made, told


class FakeSocket:
    """A socket with room for so many bytes, and the transport over it."""

    def __init__(self, room=1 << 20):
        self.room, self.data, self.calls = room, b"", []

    def send(self, data):
        if not self.room:
            raise BlockingIOError
        piece = bytes(data[: self.room])
        self.data, self.room = self.data + piece, self.room - len(piece)
        return len(piece)

    def recv(self, size, flags):
        raise BlockingIOError

    def __getattr__(self, name):
        return lambda *told: self.calls.append(name)


def make_connection(room=1 << 20):
    """A connection that is up, its machine and the deadlines' calls; ends tells what became of numbers."""
    soon, ends, now = [], {}, [100.0]
    clock = SimpleNamespace(
        now=lambda: now[0],
        call_after=lambda delay, call, *told: soon.append((call, told)),
        call_soon=lambda call, *told: soon.append((call, told)),
        arrivals=Arrivals(0.0),
    )
    caches = ConnectionPools(clock, make_buffer_pool()[0], PoolSettings(0.4, 15.0, 100, 50), lambda *_, **more: None)
    caches.set_owner(
        SimpleNamespace(
            build_frame=lambda number: None,
            response_received=lambda number, *_: ends.setdefault(number, "answered") == "answered",
            attempt_ended=ends.__setitem__,
        )
    )
    caches.add_or_move(1, "1", ("127.0.0.1", 1))
    made = UpstreamConnection(caches.pools_by_id[1])
    made.pool.connections.append(made)
    made.transport = made.socket = FakeSocket(room)
    made.is_up = True
    return made, ends, soon, now


def make_endpoint_watch(last=40):
    told = []
    clock = SimpleNamespace(call_after=lambda *_: None, now=lambda: 1.0)
    listener = SimpleNamespace(
        endpoints_changed=lambda records, *, complete: told.append((complete, records)),
        purged=lambda *purge: told.append(purge),
        caught_up=lambda: None,
    )
    made = endpoint_watch.EndpointWatch(
        None, clock, endpoint_watch.WatchSettings(("127.0.0.1", 1), last, 0.4), listener, lambda *a, **k: None
    )
    made.connection = SimpleNamespace(
        decoder=endpoint_watch.FrameDecoder(), transport=SimpleNamespace(abortConnection=lambda: told.append("dropped"))
    )
    return made, told
