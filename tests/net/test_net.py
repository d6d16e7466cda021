"""The sockets' side without a socket: parsers, tables, the map of ends."""

import gc
import json
import socket
import time
import weakref
from contextlib import ExitStack
from types import SimpleNamespace

import pytest
from twisted.internet import error
from twisted.python import log
from twisted.python.failure import Failure

from tests.support.connections import Wire, attempts, line, pool, reading
from tests.support.routing import make_request_class, make_router
from wickhinge.fields import MalformedError
from wickhinge.interface import Outcome
from wickhinge.net.control import config, endpoint_watch
from wickhinge.net.downstream import msgpack
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.downstream.request_table import DownstreamRequest, RequestTable
from wickhinge.net.runtime.arrivals import Arrivals
from wickhinge.net.runtime.buffers import BUFFER_BYTES, Body
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.loop import Reactor
from wickhinge.net.runtime.slots import Slots
from wickhinge.net.upstream import resp
from wickhinge.net.upstream.attempt_results import (
    OUTCOMES_BY_RESULT,
    RESULTS_BY_STATUS,
    AttemptResult,
    connect_failure_result,
)
from wickhinge.net.upstream.attempts import CACHE_STATUS_BY_CODE, SentAttempt
from wickhinge.net.upstream.connection_pools import ConnectionPools, PoolSettings, UpstreamConnection


def plain(items):
    return [b"".join(item.views()) if isinstance(item, Body) else item for item in items]


REQUEST = [0, 7, "segment", [{"rid": "9b1f03aa5c7e2d41", "budget": "1500", "long": "x" * 300}, b"\x00" * 70]]
VALUES = [
    None,
    True,
    False,
    0,
    127,
    128,
    70000,
    1 << 40,
    -1,
    -33,
    "",
    "é" * 40,
    b"b" * 300,
    [1] * 20,
    {"a": {"b": []}},
    REQUEST,
]


@pytest.mark.parametrize("value", VALUES)
def test_msgpack_reads_what_it_writes_at_every_split(value):
    data = msgpack.pack(value) + msgpack.pack([2, "abort", [7]])
    for split in range(len(data) + 1):
        stream = msgpack.MessageDecoder()
        assert stream.feed(data[:split]) + stream.feed(data[split:]) == [value, [2, "abort", [7]]]


@pytest.mark.parametrize(
    "data, told",
    [
        (b"\xc1", "unknown kind"),
        (b"\x91" * 9 + b"\x01", "too deep"),
        (b"\xdd\xff\xff\xff\xff", "items"),
        (b"\xc6\x00\xff\xff\xff", "bytes"),
        (b"\xa2\xff\xff", "UTF-8"),
        (b"\x81\x90\x01", "key"),
        (b"\x93\xc5\xff\x00" + b"x" * 65280 + b"\xc5\xff\x00" + b"x" * 300, "message of over"),
    ],
    ids=range(7),
)
def test_msgpack_names_what_it_cannot_read(data, told):
    with pytest.raises(msgpack.MalformedMessageError, match=told):
        msgpack.MessageDecoder().feed(data)


ANSWERS = [[b"9b1f03aa5c7e2d41", b"OK", b"etag=a,made=5", b"x\r\n" * 9], [b"p1", b"UP", b"-", b""], [b"a"]]


def test_resp_reads_what_it_writes_at_every_split():
    data = b"".join(resp.pack(*items) for items in ANSWERS)
    for split in range(len(data) + 1):
        stream = resp.ReplyDecoder(pool()[0])
        assert [plain(items) for items in stream.feed(data[:split]) + stream.feed(data[split:])] == ANSWERS


def test_resp_body_over_several_buffers_goes_back_to_the_pool():
    made, told = pool(limit=3)
    body = bytes(range(256)) * (BUFFER_BYTES // 256 * 7 // 2)
    (items,) = resp.ReplyDecoder(made).feed(resp.pack(b"a", b"OK", b"-", body))
    assert plain(items)[3] == body and made.in_use == 4 and told == ["stop"]
    items[3].drop_written(BUFFER_BYTES + 5)
    assert b"".join(items[3].views()) == body[BUFFER_BYTES + 5 :] and made.in_use == 3
    items[3].release()
    assert made.in_use == 0 and told == ["stop", "go"] and made.free


@pytest.mark.parametrize(
    "data, told",
    [
        (b"+OK\r\n", "line"),
        (b"*9\r\n", "array of 9"),
        (b"*1\r\n$-1\r\n", "line"),
        (b"*1\r\n$5000\r\n", "5000"),
        (b"*1\r\n$1\r\nxy\r\n", "longer"),
        (b"*" + b"1" * 40, "does not end"),
    ],
)
def test_resp_names_what_it_cannot_read(data, told):
    with pytest.raises(resp.MalformedReplyError, match=told):
        resp.ReplyDecoder(pool()[0]).feed(data)


def test_body_of_a_visit_is_given_whole_again_for_each_forward():
    made, _ = pool()
    body = Body(made, b"ab" * BUFFER_BYTES)
    assert b"".join(body.views()) == b"".join(body.views()) == b"ab" * BUFFER_BYTES and made.in_use == 2


def test_half_read_answer_of_a_lost_connection_gives_its_buffers_back():
    made, _ = pool()
    stream = resp.ReplyDecoder(made)
    stream.feed(resp.pack(b"a", b"OK", b"-", b"x" * 100)[:-40])
    stream.close()
    assert made.in_use == 0


@pytest.mark.parametrize(
    "data, fields",
    [
        (b"-", {}),
        (b"detail=h,use=x1:0.5;util:a", {"detail": "h", "use": "x1:0.5;util:a"}),
        (b"etag=a=b", {"etag": "a=b"}),
    ],
)
def test_fields_of_answers(data, fields):
    assert resp.parse_fields(data) == fields
    assert resp.parse_load_report(fields.get("use", "")) == ({"x1": 0.5} if "use" in fields else {})


def frame(number, kind, payload=b""):
    return endpoint_watch.FRAME_HEADER.pack(9 + len(payload), number, kind) + payload


RECORD = endpoint_watch.ENDPOINT_RECORD.pack(0xC41F7A, 0x7F000009, 10080, 1, 2, 0, 3, 4500, 1764576000123)


def test_journal_frames_at_every_split():
    data = (
        frame(41, 1, RECORD)
        + frame(41, 0)
        + frame(42, 3, endpoint_watch.OBJECT_PURGE.pack(9, 8))
        + frame(43, 4, endpoint_watch.GROUP_PURGE.pack(17, 6))
    )
    for split in range(len(data) + 1):
        made, told = reading()
        made.receive_data(made.connection, data[:split])
        made.receive_data(made.connection, data[split:])
        assert (
            told == [(True, endpoint_watch.endpoint_records(RECORD)), (9, 0, 8), (None, 17, 6)]
            and made.last_number == 43
        )


@pytest.mark.parametrize(
    "data", [frame(42, 0) + frame(42, 2), frame(41, 9), frame(41, 2, b"x"), frame(41, 3, b"x"), b"\x00\x00\x00\x01x"]
)
def test_journal_never_guesses_over_a_gap_or_a_bad_frame(data):
    made, told = reading()
    made.receive_data(made.connection, data)
    assert told == ["dropped"] and made.last_number == 40 and made.connection is None


def test_an_event_written_twice_is_heard_once_and_costs_nothing():
    made, told = reading()
    for number in (40, 41, 41, 42, 41):
        made.receive_data(made.connection, frame(number, 4, endpoint_watch.GROUP_PURGE.pack(number, 6)))
    assert told == [(None, 41, 6), (None, 42, 6)] and made.last_number == 42


def test_a_journal_that_moved_is_asked_there_at_once_and_its_old_place_is_not_heard():
    made, told = reading()
    made.reactor = SimpleNamespace(connectTCP=lambda host, port, *_, **__: told.append(port))
    old = made.connection
    made.change_address(("127.0.0.1", 9))
    made.handle_lost(old, "closed")
    made.receive_data(old, frame(41, 4, endpoint_watch.GROUP_PURGE.pack(41, 6)))
    made.change_address(("127.0.0.1", 9))
    assert told == ["dropped", 9] and made.last_number == 40


@pytest.mark.parametrize("limits", [{"memory_mb": 32, "sockets": 256}, {"memory_mb": 192, "sockets": 1024}])
def test_limits_of_every_day_are_taken(limits):
    assert config.process_limits({"limits": limits}) == tuple(limits.values())


def test_a_stale_number_finds_nothing():
    slots = Slots()
    first = slots.put("a")
    assert slots.drop(first) == "a" and slots.drop(first) is None
    second = slots.put("b")
    assert len(slots.items) == 1 and slots.get(first) is None and slots.get(second) == "b"


def test_every_end_has_its_outcome_and_what_never_ran_is_known_as_such():
    assert set(OUTCOMES_BY_RESULT) == set(AttemptResult) and set(RESULTS_BY_STATUS.values()) <= set(AttemptResult)
    never = {
        end
        for end, outcome in OUTCOMES_BY_RESULT.items()
        if outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.OVERLOADED, Outcome.MISS, Outcome.SUPERSEDED)
    }
    assert never == {
        AttemptResult.REFUSED,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET_WHILE_CONNECTING,
        AttemptResult.NO_DESCRIPTOR,
        AttemptResult.CONNECT_NOT_STARTED,
        AttemptResult.NO_ROUTE,
        AttemptResult.LOST_UNWRITTEN,
        AttemptResult.RECALLED,
        AttemptResult.BUSY,
        AttemptResult.MISS,
        AttemptResult.SUPERSEDED,
    }
    assert b"".join(CACHE_STATUS_BY_CODE) == b"hfojsrblnx"


@pytest.mark.parametrize(
    "reason, end",
    [
        (error.ConnectionRefusedError(), AttemptResult.REFUSED),
        (error.TimeoutError(), AttemptResult.CONNECT_FAILED),
        (error.ConnectingCancelledError(None), AttemptResult.CONNECT_FAILED),
        (error.ConnectBindError(), AttemptResult.NO_DESCRIPTOR),
        (error.NoRouteError(), AttemptResult.CONNECT_FAILED),
        (error.ConnectError(osError=104), AttemptResult.RESET_WHILE_CONNECTING),
    ],
)
def test_why_no_connection_came_up(reason, end):
    assert connect_failure_result(Failure(reason)) is end


class Clock:
    """A reactor that only keeps its timers."""

    def __init__(self):
        self.timers, self.arrivals, self.caught_up = [], Arrivals(0.0), 0

    def catch_up(self):
        self.caught_up += 1

    def callLater(self, delay, call):
        self.timers.append((delay, call))
        return SimpleNamespace(active=lambda: True, reset=lambda delay: self.timers.append((delay, call)))


def test_deadlines_share_one_timer_come_in_order_and_outlive_a_fault():
    clock, called, faults = Clock(), [], []
    deadlines = Deadlines(clock, faults.append)
    deadlines.call_after(-1.0, called.append, "b")
    deadlines.call_after(-2.0, called.append, "a")
    deadlines.call_after(-1.5, lambda: 1 / 0)
    deadlines.call_after(-0.5, lambda: deadlines.call_soon(called.append, "next turn"))
    deadlines.call_after(60.0, called.append, "later")
    deadlines.fire()
    assert called == ["a", "b"] and faults == ["deadline"]
    deadlines.fire()
    assert called == ["a", "b", "next turn"] and len({id(call.__func__) for _, call in clock.timers}) == 1


@pytest.mark.parametrize("room, written", [(0, b""), (4, b"*1\r\n")])
def test_what_is_given_up_before_the_socket_took_it_is_never_sent_on(room, written):
    """Held by the transport it went out after its visit's final answer, while the router stood still."""
    made, ends, soon, _ = line(room)
    made.send(b"a", 1, resp.pack(b"REQ"))
    made.send(b"b", 2, resp.pack(b"REQ"))
    made.cancel(b"a", 100.0)
    made.socket.room = 1 << 20
    made.resumeProducing()
    made.resumeProducing()
    if room:  # the rest of it must not follow, and nothing can without it
        assert made.socket.data == written
        call, told = soon.pop()
        call(*told)
        assert ends == {2: AttemptResult.LOST_UNWRITTEN} and "abortConnection" in made.socket.calls
    else:
        assert made.socket.data == resp.pack(b"REQ") and not made.unwritten_tags


@pytest.mark.parametrize(
    "silent, idle, goes",
    [
        (0.0, 4.0, ["idle"]),
        (1.0, 4.0, ["silent"]),
        (0.0, None, []),
        (0.3, None, ["silent"]),
        (None, 4.0, ["idle"]),
        (None, -1.0, []),
    ],
)  # -1: it has asked again, which lies unread
def test_who_has_its_answer_goes_before_who_may_not_have_been_read_yet(silent, idle, goes):
    """Evicted first, new clients of a router in a pause lost their only request."""
    clock = SimpleNamespace(now=lambda: 100.0, arrivals=Arrivals(0.0))
    clients, ended = ClientConnections(None, clock, 2, lambda *_, **more: None), []

    class Named:
        """A client that tells when it is hung up on."""

        earliest_unread_arrival = is_idle = lambda self: True

    for name, table, since in (("silent", clients.no_request_since, silent), ("idle", clients.idle_since, idle)):
        if since is not None:
            made = Named()
            made.open_requests, made.write_queue, made.queued_requests, made.is_write_blocked, made.has_ended = (
                (),
                (),
                (),
                False,
                False,
            )
            # What lies unread is a request, as its socket is read.
            made.read_all_pending = lambda _, gone=made, since=since: since < 0 and setattr(
                gone, "is_idle", lambda: False
            )
            made.close_unless_unread = made.fail = lambda *_, gone=made, what=name: (
                ended.append(what),
                clients.client_disconnected(gone),
            )
            clients.connections.add(made)
            table[made] = 100.0 - since
    clients.connections.update(range(2 - len(clients.connections)))
    assert clients.close_idle_clients(1) == len(goes)
    assert ended == goes


@pytest.mark.parametrize("heard, doubted", [(0.0, True), (0.2, False)])
def test_a_machine_silent_on_one_connection_is_not_asked_on_its_others(heard, doubted):
    """Each would have to be found silent by itself, by visits that run out of time."""
    made, _, _, now = line()
    other = UpstreamConnection(made.pool)
    made.pool.connections.append(other)
    other.is_up, other.transport, other.socket = True, Wire(), Wire()
    other.send(b"b", 2, b"x")
    now[0] += 0.1
    made.send(b"a", 1, b"x")
    other.last_received_at += heard
    now[0] += 0.5
    made.cancel(b"a", 100.1)
    assert made.is_suspect and other.is_suspect is doubted


def test_an_answer_that_stops_short_ends_its_connection():
    made, ends, soon, now = line()
    made.send(b"a", 1, b"x")
    made.send(b"b", 2, b"x")
    made.dataReceived(resp.pack(b"a", b"OK", b"-", b"x" * 50)[:-9])
    ((call, told),) = soon
    now[0] += 0.5
    made.socket.recv = lambda size, flags: b"x"  # the rest lies unread: the router is behind, not the cache
    call(*told)
    assert ends == {}
    del made.socket.recv
    call(*told)
    assert ends == {1: AttemptResult.UNREADABLE, 2: AttemptResult.UNREADABLE} and made.pools.buffer_pool.in_use == 0


def test_a_machine_gone_is_forgotten_when_nothing_is_out_there():
    made, *_ = line()
    made.send(b"a", 1, b"x")
    made.pool.retire()
    assert made.pools.pools_by_id
    made.dataReceived(resp.pack(b"a", b"OK", b"-", b""))
    assert not made.pools.pools_by_id


@pytest.mark.parametrize(
    "word, told, probe, good",
    [
        (b"OK", b"etag=a,made=1", False, True),
        (b"OK", b"etag=a", False, False),
        (b"UP", b"-", False, False),
        (b"SAME", b"etag=a,made=1", False, False),
        (b"MISS", b"-", False, True),
        (b"NOISE", b"-", False, False),
        (b"UP", b"-", True, True),
        (b"OK", b"etag=a,made=1", True, False),
    ],
)
def test_a_word_that_does_not_fit_what_was_asked_is_unreadable(word, told, probe, good):
    made, ended = line()[0].pools, []
    forwards = attempts(made)
    forwards.attempt_ended = lambda number, end, told, body: ended.append(end)
    door = None if probe else DownstreamRequest(SimpleNamespace(taken=1), None, 1, "a", make_request_class(), 0.0)
    number = forwards.slots.put(SentAttempt(door, None, None, 0.0, 1.0))
    assert forwards.response_received(number, word, told, Body(made.buffer_pool, b"x")) is good
    assert (ended == [AttemptResult.UNREADABLE]) is not good


@pytest.mark.parametrize(
    "change, told",
    [
        ({"listen": None}, "field listen"),
        ({"listen": "here:80"}, "field listen"),
        ({"seed": "x"}, "field seed"),
        ({"limits": {"memory_mb": 5}}, "field memory_mb"),
        ({"name": "other"}, "contradicts RELAY_NAME"),
        ({"known": {"pos": 1, "entries": [{"expire": {"name": "zz"}}]}}, "field name"),
        ({"known": {"pos": 1, "entries": [{"hosts": {"whole": True, "hosts": [{"host": "s-1"}]}}]}}, "field dial"),
    ],
)
def test_bad_configuration_is_named_by_its_key(tmp_path, change, told):
    conf = {"name": "n3", "listen": "127.0.0.1:5", "seed": "ab", "known": {"pos": 0, "entries": []}}
    (tmp_path / "c").write_text(json.dumps({**conf, **change}))
    with pytest.raises(MalformedError, match=told):
        made = config.read({"RELAY_CONFIG": str(tmp_path / "c"), "RELAY_NAME": "n3"})
        for read in (config.listen_address, config.seed, config.process_limits, config.known_events):
            read(made)


def test_what_lies_in_the_sockets_is_read_before_deadlines_that_a_standstill_made_late():
    clock, called = Clock(), []
    deadlines = Deadlines(clock, [].append)
    clock.arrivals.poll_ended_at = deadlines.now()
    deadlines.call_after(-1.0, lambda: called.append(clock.caught_up))
    deadlines.fire()
    clock.arrivals.poll_ended_at = deadlines.now() - 0.2
    deadlines.call_after(-0.1, lambda: called.append(clock.caught_up))
    deadlines.fire()
    clock.arrivals.poll_ended_at = deadlines.now()
    clock.arrivals.is_behind = True  # the poll was broken off, and told nothing
    deadlines.call_after(-0.1, lambda: called.append(clock.caught_up))
    deadlines.fire()
    assert called == [0, 1, 2]


@pytest.mark.parametrize("how", ["closed by its peer", "closed by us", "refused", "given up"])
def test_a_connection_that_has_ended_is_freed_without_the_collector(how):
    """The collector is off in service: 4 KB a connection, two of them a second, crashed a router in half an hour."""
    reactor, ended, errors = Reactor(), [], []
    with ExitStack() as stack:
        watch = lambda event: event["isError"] and errors.append(event)  # noqa: E731
        log.addObserver(watch)
        stack.callback(log.removeObserver, watch)
        place = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=1))
        place.settimeout(5.0)
        address = place.getsockname()
        if how == "refused":
            place.close()
        for _ in range(4 if how == "given up" else 0):  # no room for one more: it hears nothing
            other = stack.enter_context(socket.socket())
            other.setblocking(False)
            other.connect_ex(address)
        deadlines = Deadlines(reactor, ended.append)
        caches = ConnectionPools(
            deadlines, pool()[0], PoolSettings(5.0, 15.0, 100, 50), lambda *_, **told: ended.append(told)
        )
        caches.add_or_move(1, "1", address)
        gc.collect()
        gc.disable()
        try:
            made = UpstreamConnection(caches.pools_by_id[1])
            made.pool.connections.append(made)
            made.connect(address)
            seen = weakref.ref(made)
            if how == "given up":
                for _ in range(5):
                    reactor.iterate(0.01)
                made.connect_timed_out()
            elif how != "refused":
                while not made.is_up:
                    reactor.iterate(0.01)
                there = place.accept()[0]
                made.close() if how == "closed by us" else there.close()
            end = time.monotonic() + 5.0
            while not made.has_ended and time.monotonic() < end:
                reactor.iterate(0.01)
            assert made.has_ended and len(caches.pools_by_id[1].connections) == 0 == caches.open_descriptors
            del made
            reactor.iterate(0.0)  # what a turn of the loop still named
            deadlines.heap.clear()
            assert seen() is None and gc.collect() == 0 and errors == []
        finally:
            gc.enable()


def test_a_visit_denied_at_once_is_freed_without_the_collector():
    """The collector is off in service: a circle would stay until the memory limit."""
    clock = SimpleNamespace(now=lambda: 100.0, call_at=lambda *_: None)
    client = SimpleNamespace(send_error=lambda call, word, fields: None)
    decisions = make_router(caches=0, parents=0, direct_to_source=False)
    forwards = SimpleNamespace(decisions=decisions, local_copies=None)
    visits = RequestTable(forwards, clock, pool()[0], {"t": make_request_class()}, lambda *_, **more: None, [].append)
    seen, take = [], decisions.route
    decisions.route = lambda *told: seen.append(weakref.ref(visit := take(*told))) or visit
    gc.disable()
    try:
        visits.start_request(client, 1, "t", {"rid": "0" * 16, "budget": "3000", "obj": "0" * 16}, b"", 100.0)
        decisions.environment.timers.clear()
        assert visits.answer_counts == {"denied": 1} and seen[0]() is None
    finally:
        gc.enable()
