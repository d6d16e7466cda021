"""Two events that cross, each order forced: docs/notes/crossings.md lists the pairs. On sockets the machines and the
journal service are the test; what has to happen first is waited for, never hoped for.
"""

import gc
import json
import os
import socket
import time
from types import SimpleNamespace

import pytest

from tests.support.connections import attempts, line
from tests.support.processes import ROOT, Client
from tests.support.router_process import OK_FIELDS, endpoint_entry
from tests.support.routing import end_attempt, make_request_class, make_router, route_request
from wickhinge.clocks import steady_time
from wickhinge.fields import MalformedError
from wickhinge.interface import AttemptParameters, Outcome
from wickhinge.net.control import config, endpoint_watch
from wickhinge.net.downstream import msgpack
from wickhinge.net.downstream.client_connection import (
    INITIAL_HOLD_S,
    MAX_OPEN_REQUESTS,
    MAX_READ_BYTES,
    MAX_TOTAL_QUEUED_BYTES,
    ClientConnection,
)
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.downstream.request_table import DownstreamRequest
from wickhinge.net.runtime.arrivals import Arrivals
from wickhinge.net.upstream import resp
from wickhinge.net.upstream.attempt_results import AttemptResult
from wickhinge.net.upstream.attempts import SentAttempt
from wickhinge.net.upstream.request_log import RequestLog, RequestTrace
from wickhinge.routing.attempt import Attempt

OBJECT = 0xAA


def slow(conf, **limits):
    """Connections may take long to come up."""
    conf["limits"] |= {"connectTimeoutMs": 9000, **limits}


def answered(client, call):
    kind, _, error, _ = client.answer(call)
    return kind == 1 and error is None


def test_what_waits_for_a_connection_does_not_go_to_a_machine_that_drains_meanwhile(stand):
    made = stand(change=slow)
    late, client = made.stop_accepting(0), made.client()
    call = client.ask()
    assert client.ping()  # read after it
    made.drain_endpoint(0)
    made.accept_connection(1).next_request().answer("OK", OK_FIELDS, b"x")
    assert answered(client, call)
    connection = late()
    assert client.ping()
    made.router.close()
    assert connection.next_request() is None


def test_what_waits_for_a_connection_goes_with_the_age_that_a_purge_told_meanwhile_allows(stand):
    made = stand(change=slow)
    late, client = made.stop_accepting(0), made.client()
    call = client.ask(budget="6000")
    assert client.ping()
    made.send_event(3, endpoint_watch.OBJECT_PURGE.pack(OBJECT, int(time.time() * 1000) - 1))
    made.router.wait('"event":"purge_applied"')
    asked = late().next_request()
    assert int(asked.fields["maxage"]) < 2000  # without a purge it is not named: the fresh time of the tariff
    asked.answer("OK", OK_FIELDS, b"x")
    assert answered(client, call)


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("leaves", ["abort", "close"])
def test_what_waits_for_a_connection_is_not_sent_when_its_client_has_left(stand, cancel, leaves):
    made = stand(change=lambda conf: slow(conf, cancel=cancel))
    late, client, other = made.stop_accepting(0), made.client(), made.client()
    call = client.ask()
    assert client.ping()
    if leaves == "abort":
        client.socket.sendall(msgpack.pack([2, "abort", [call]]))
        assert client.ping()
    else:
        client.socket.close()
        made.router.wait('"event":"client_connection_lost"')
    connection = late()
    assert other.ping() and other.ping()
    made.router.close()
    assert connection.next_request() is None


def test_a_second_refusal_under_the_same_id_is_not_taken_for_that_of_a_second_forward(stand):
    """Refused twice and run once, an exclusive visit would be sent a third time."""
    made = stand(change=lambda conf: conf["classes"][1].update(onTimeMs=2900))
    client = made.client()
    call = client.ask("results", b"mark")
    first = made.accept_connection(1)
    asked = first.next_request()
    asked.answer("BUSY")
    again = made.accept_connection(1).next_request()  # on another connection
    assert again.id == asked.id
    asked.answer("BUSY")
    for place in (first, again.connection):
        assert place.next_request(0.9) is None  # nothing waits longer: what waits is looked at each 0.7 s
    again.answer("OK", "-", b"mark")
    assert answered(client, call)


def test_a_second_miss_is_not_the_answer_of_the_fill_that_followed_the_first(stand):
    made = stand(change=lambda conf: conf["limits"].update(mayDuplicate=False))
    client = made.client()
    call = client.ask()
    box = made.accept_connection(0)
    asked = box.next_request()
    asked.answer("MISS")
    fill = box.next_request()
    assert "src" in fill.fields
    asked.answer("MISS")
    fill.answer("OK", OK_FIELDS, b"x")
    assert answered(client, call)
    made.router.close()
    assert box.next_request() is None


def test_where_nothing_may_be_given_up_no_word_of_it_goes_out(stand):
    made = stand(change=lambda conf: conf["limits"].update(cancel=False))
    client = made.client()
    calls = [client.ask(budget=budget) for budget in ("1200", "1500")]
    for call in calls:  # the first has run out at the machine, too, when the second is answered
        assert client.answer(call)[2][0] == "Overloaded"
    box = made.accept_connection(0)
    made.router.close()
    assert box.read_message_types() == [b"REQ", b"REQ"]


def test_the_mark_of_a_ticketed_visit_goes_with_each_of_its_forwards(stand):
    made = stand(
        change=lambda conf: conf["classes"][1].update(effect="token", group="all", windowMs=2500, onTimeMs=2900)
    )
    client = made.client()
    call = client.ask("results", b"mark", token="d266bfacf2dce431")
    first = made.accept_connection(1).next_request()
    assert first.fields["uniq"] == "d266bfacf2dce431"
    first.connection.socket.close()  # it may have run
    again = made.accept_connection(1).next_request()
    assert again.fields["uniq"] == "d266bfacf2dce431" and again.id == first.id
    again.answer("OK", "-", b"mark")
    assert answered(client, call)


# The end of the program, in one process and with the clock turned by hand.


class Ended:
    """A node that has been told to leave, its machines and its clients real sockets."""

    def __init__(self, monkeypatch):
        from wickhinge.net.control.router_process import RouterProcess
        from wickhinge.net.runtime.deadlines import Deadlines
        from wickhinge.net.runtime.loop import Reactor

        self.ahead, self.stopped = 0.0, []
        monkeypatch.setattr(Deadlines, "now", staticmethod(self.clock))
        conf = json.loads((ROOT / "example/config.json").read_text())
        with socket.create_server(("127.0.0.1", 0)) as place:
            self.address = place.getsockname()
        self.box = socket.create_server(("127.0.0.1", 0))
        self.box.settimeout(5.0)
        hosts = [endpoint_entry(0, "origin", self.box)]
        conf |= {
            "listen": "{}:{}".format(*self.address),
            "journal": "127.0.0.1:9",
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": hosts}}]},
        }
        conf["settings"]["limits"]["connectTimeoutMs"] = 9000  # the clock is turned by seconds
        self.reactor = Reactor()
        self.reactor.now = self.clock
        self.node = RouterProcess(conf, self.reactor, os.open(os.devnull, os.O_WRONLY))
        monkeypatch.setattr(self.reactor, "stop", lambda: self.stopped.append(True))
        self.node.start()
        self.node.readiness.open("test")

    def clock(self):
        return steady_time() + self.ahead

    def turn(self, count=5):
        for _ in range(count):
            self.node.deadlines.fire()
            self.reactor.iterate(0.01)

    def close(self):
        gc.enable()
        self.node.endpoint_watch.close()
        self.node.readiness.close()
        self.box.close()


@pytest.fixture
def ended(monkeypatch):
    made = Ended(monkeypatch)
    yield made
    made.close()


@pytest.mark.parametrize("connected", [True, False])
def test_a_request_unread_when_nothing_is_open_is_still_answered(ended, connected):
    """With little CPU the end comes due before what lies in a socket, or a connection in the listener, is looked at."""
    client = Client(ended.address) if connected else None
    ended.turn()
    ended.node.drain()
    ended.ahead = 1.0
    client = client or Client(ended.address)
    call = client.ask("results", b"mark")
    ended.node.deadlines.fire()
    ended.ahead = 2.0
    ended.node.deadlines.fire()
    assert not ended.stopped
    ended.turn()
    machine = ended.box.accept()[0]
    machine.settimeout(5.0)
    rid = resp.ReplyDecoder(ended.node.buffers).feed(machine.recv(65536))[0][1]
    machine.sendall(resp.pack(rid, b"OK", b"-", b"mark"))
    ended.turn()
    assert client.answer(call)[2] is None
    ended.ahead = 4.0
    ended.turn(10)
    assert ended.stopped


def test_what_no_machine_answers_before_the_kill_is_given_up(ended):
    client = Client(ended.address)
    calls = [client.ask("results", b"mark"), client.ask("pages")]
    ended.turn()
    ended.node.drain()
    ended.ahead = ended.node.shutdown.give_up_after_s + 0.01
    ended.turn(10)
    assert [client.answer(call)[2][0] for call in calls] == ["Abandoned", "Overloaded"]
    assert ended.stopped


def test_a_rested_connection_is_closed_in_the_call_that_looked_at_it(ended):
    """A turn of the loop later it may be half a second later, with a request in it that nobody reads."""
    client = Client(ended.address)
    client.socket.sendall(msgpack.pack([0, 1, "ping", [{}]]))
    ended.turn()
    assert client.answer(1)[3][0] is True
    [made] = ended.node.clients.connections
    assert ended.node.clients.close_if_idle(made)
    client.socket.settimeout(1.0)
    assert client.socket.recv(1) == b""


# Clients, without a socket.


class Peer:
    """A client's connection and what the visits hear of it."""

    def __init__(self):
        self.now, self.soon, self.taken, self.gone, self.calls = 100.0, [], [], [], []
        self.written = b""
        clock = SimpleNamespace(
            now=lambda: self.now,
            call_after=lambda delay, call, *told: self.soon.append(call),
            call_soon=lambda call, *told: self.soon.append(call),
            arrivals=Arrivals(self.now),
        )
        self.arrivals = clock.arrivals
        requests = RequestLog(lambda *_, **more: None)
        visits = SimpleNamespace(
            start_request=self.take,
            reject_for_client_error=lambda door: None,
            client_left=lambda door, why: self.gone.append(door),
            request_log=requests,
        )
        self.clients = ClientConnections(visits, clock, 9, lambda *_, **more: None)
        self.made = ClientConnection(self.clients)
        self.made.transport = self.made.socket = SimpleNamespace(
            pauseProducing=lambda: self.calls.append("pause"),
            resumeProducing=lambda: self.calls.append("resume"),
            setTcpNoDelay=lambda on: None,
            getHandle=lambda: self.made.transport,
            sendmsg=self.send,
            recv=self.nothing,
            abortConnection=lambda: self.calls.append("abort"),
            loseConnection=lambda: self.calls.append("abort"),
            end_unless_unread=lambda: True,
            close_ended=lambda: self.calls.append("close"),
        )
        self.made.connectionMade()

    def send(self, views):
        self.written += b"".join(views)
        return 1 << 20

    def nothing(self, size):
        raise BlockingIOError

    def take(self, client, call, method, fields, body, arrival):
        from wickhinge.net.downstream.request_table import InvalidRequestError

        if method == "bad":
            raise InvalidRequestError("bad")
        self.taken.append((call, round(self.now - arrival, 3)))
        return call

    def ask(self, *calls, method="pages", body=b""):
        self.arrivals.earliest_arrival_at = self.now
        self.made.dataReceived(b"".join(msgpack.pack([0, call, method, [{"rid": "a"}, body]]) for call in calls))

    def abort(self, call):
        self.made.dataReceived(msgpack.pack([2, "abort", [call]]))

    def let(self, after):
        self.now += after
        for call in self.soon[:]:
            call()


@pytest.mark.parametrize("hold", ["bad", "full"])
def test_who_is_held_back_is_seen_to_give_up_and_to_leave(hold):
    """Unread, what it had open would still be sent on long after it left."""
    peer = Peer()
    peer.ask(1, 2)
    if hold == "bad":
        peer.ask(9, method="bad")
    else:
        peer.clients.pause()
    peer.ask(3, 4, 5)
    peer.abort(1)
    peer.abort(4)
    assert [call for call, _ in peer.taken] == [1, 2] and peer.gone == [1] and "pause" not in peer.calls
    assert peer.made.has_unread_requests()  # so nobody hangs up on it, and the program does not end
    peer.now += 0.2
    peer.clients.resume() if hold == "full" else peer.let(2 * INITIAL_HOLD_S)
    assert [call for call, _ in peer.taken] == [1, 2, 3, 5] and peer.taken[-1][1] >= 0.2  # its time ran on
    peer.ask(9, method="bad")
    peer.ask(6)
    peer.made.connectionLost(SimpleNamespace(getErrorMessage=lambda: "closed"))
    peer.let(5.0)
    assert peer.gone == [1, 2, 3, 5] and len(peer.taken) == 4


def test_what_is_read_in_a_hold_is_bounded():
    peer = Peer()
    peer.ask(9, method="bad")
    peer.ask(1, body=b"x" * 9000)
    others = peer.clients.queued_bytes = MAX_TOTAL_QUEUED_BYTES - 48_000  # as much as others keep there
    peer.ask(2, body=b"x" * 40_000)
    for call in range(30, 50):
        peer.ask(call, body=b"x" * 40_000)
    assert list(peer.made.queued_requests) == [1, 2] and peer.written.count(b"Overloaded") == 20
    assert peer.clients.queued_bytes <= MAX_TOTAL_QUEUED_BYTES
    peer.abort(2)
    peer.ask(3, body=b"x" * 40_000)
    assert list(peer.made.queued_requests) == [1, 3] and peer.calls == []  # read on all the time
    peer.let(5.0)
    assert [call for call, _ in peer.taken] == [1, 3] and peer.made.queued_bytes == 0
    assert peer.clients.queued_bytes < others
    peer.ask(10, method="bad")
    peer.ask(*range(20, 20 + MAX_OPEN_REQUESTS))
    assert "abort" in peer.calls and not peer.made.queued_requests


def test_what_one_read_leaves_in_the_socket_is_read_before_anything_begins():
    peer = Peer()
    peer.now += 1.0  # all that came before has been read, as far as the loop knows
    requests = [msgpack.pack([0, call, "pages", [{"rid": "a"}, b"x" * 47_000]]) for call in (1, 2)]
    data = b"".join(requests)
    unread = [data[MAX_READ_BYTES:] + msgpack.pack([2, "abort", [1]])]
    peer.made.socket.recv = lambda size: unread.pop() if unread else peer.nothing(size)
    peer.made.dataReceived(data[:MAX_READ_BYTES])
    assert not unread and [call for call, _ in peer.taken] == [2]


def test_a_ping_beside_as_many_requests_as_may_be_open_harms_none():
    peer = Peer()
    data = [msgpack.pack([0, call, "pages", [{"rid": "a"}]]) for call in range(MAX_OPEN_REQUESTS)]
    peer.made.dataReceived(b"".join(data) + msgpack.pack([0, 99, "ping", [{}]]))
    assert len(peer.taken) == MAX_OPEN_REQUESTS and "abort" not in peer.calls


@pytest.mark.parametrize("since, fails", [(3.0, False), (5.0, False), (60.0, False), (3.0, True)])
def test_one_that_asked_while_the_router_stood_still_is_not_hung_up_on_for_its_silence(since, fails):
    """However long it stood still; one that lies in the socket is read first."""
    peer = Peer()
    unread = [] if fails else [msgpack.pack([0, 1, "pages", [{"rid": "a"}]])]
    peer.made.socket.recv = lambda size: unread.pop() if unread else peer.nothing(size)
    peer.now += since
    peer.clients.sweep()
    assert ("close" in peer.calls) is fails
    assert list(peer.made.queued_requests) == ([] if fails else [1])


# Connections to machines, without a socket.


@pytest.mark.parametrize("room", [0, 4])
def test_what_is_not_wholly_written_when_its_visit_is_over_never_becomes_a_request(room):
    made, ends, soon, _ = line(room)
    forwards = attempts(made.pools)
    made.pools.set_owner(
        SimpleNamespace(
            build_frame=forwards.build_frame,
            response_received=forwards.response_received,
            attempt_ended=ends.__setitem__,
        )
    )
    door = SimpleNamespace(trace=RequestTrace(0.0, 0.0))
    number = forwards.slots.put(SentAttempt(door, None, SimpleNamespace(mark=1), 0.0, 1.0))
    sent = forwards.slots.get(number)
    sent.connection, sent.tag = made, b"a"
    made.send(b"a", number, resp.pack(b"REQ", b"a", b"-", b""))
    forwards.recall(number)
    assert (not made.write_queue) is (
        room == 0
    )  # begun, it may go on after a drain was told: its first byte went before
    forwards.recall(number, True)
    made.socket.room = 1 << 20
    made.resumeProducing()
    made.resumeProducing()
    assert len(made.socket.data) == room and (AttemptResult.RECALLED in [told[-1] for _, told in soon])


def test_an_answer_under_an_id_that_still_waits_here_is_none():
    made, ends, _, _ = line(0)
    made.send(b"a", 1, b"x")
    made.dataReceived(resp.pack(b"a", b"BUSY", b"-", b""))
    assert ends == {} and made.pending == {b"a": 1} and made.write_queue


def test_an_answer_that_trickles_on_after_its_visit_holds_no_other_up_for_long():
    made, ends, soon, now = line()
    made.send(b"a", 1, b"x")
    made.send(b"b", 2, b"x")
    made.dataReceived(resp.pack(b"a", b"OK", b"-", b"x" * 500)[:-99])
    for turn in range(12):
        if turn == 4:
            made.cancel(b"a", 100.0)
        call, told = next(item for item in soon if item[0] == made.check_progress)
        soon.clear()
        now[0] += 0.2
        made.dataReceived(b"x")
        call(*told)
        if turn == 3:
            assert not made.is_suspect and ends == {}  # slow, but somebody waits for it
        if made.has_ended:
            break
    assert ends == {2: AttemptResult.UNREADABLE} and 9 <= turn <= 10 and made.pools.buffer_pool.in_use == 0


def test_an_id_is_not_used_again_where_a_late_answer_came_for_it():
    made, *_ = line()
    made.send(b"a", 1, b"x")
    made.cancel(b"a", 100.0)
    made.dataReceived(resp.pack(b"a", b"OK", b"-", b""))  # and once more, some milliseconds later
    assert b"a" in made.used_tags


@pytest.mark.parametrize("word, again", [(b"MISS", True), (b"BUSY", False), (b"ERR", False), (b"VOID", False)])
def test_after_what_answer_a_visit_may_come_again_on_the_same_connection(word, again):
    made, *_ = line()
    forwards = attempts(made.pools)
    forwards.attempt_ended = lambda *_: None
    door = DownstreamRequest(SimpleNamespace(taken=1), None, 1, "a", make_request_class(), 0.0)
    number = forwards.slots.put(SentAttempt(door, None, None, 0.0, 1.0))
    forwards.slots.get(number).connection, forwards.slots.get(number).tag = made, b"a"
    assert forwards.response_received(number, word, b"-", None)
    assert (b"a" not in made.used_tags) is again


@pytest.mark.parametrize("held, again", [(False, True), (True, False)])
def test_what_a_source_holds_is_not_asked_for_where_the_look_missed(held, again):
    """A fill cannot end as a miss, an ask for what is held can: the look's miss, come twice, would be taken for it."""
    made, *_ = line()
    forwards = attempts(made.pools)
    forwards.attempt_ended = lambda *_: None
    door, cache = (
        DownstreamRequest(SimpleNamespace(taken=1), None, 1, "a", make_request_class(), 0.0),
        SimpleNamespace(id=1),
    )
    door.deadline = 200.0
    number = forwards.slots.put(SentAttempt(door, None, cache, 0.0, 1.0))
    forwards.slots.get(number).connection, forwards.slots.get(number).tag = made, b"a"
    assert forwards.response_received(number, b"MISS", b"-", None)
    made.pools.max_connections = 0  # no other connection may be made, so none takes it
    source = SimpleNamespace(id=2)
    request = SimpleNamespace(local_copy=None, router=SimpleNamespace(endpoints=SimpleNamespace(edge_caches=[])))
    forward = Attempt(request, cache, source, 0.0, only_if_cached=held)
    parameters = AttemptParameters(forward, cache, 200.0, source, 1, None, False, held, False)
    forwards.send(door, parameters)
    assert (b"a" in made.pending) is again


# Settings in which something is not allowed, or 0.


def test_where_probes_are_not_allowed_a_source_that_refused_is_not_asked_either():
    made = make_router(health_checks=False)
    visit, caller = route_request(made)
    end_attempt(caller, Outcome.MISS, 100.1)
    end_attempt(caller, Outcome.OVERLOADED, 100.2)
    assert made.environment.health_checked == []


@pytest.mark.parametrize("multiple, span", [(0.0, 1.0), (4.0, 0.0)])
def test_where_no_load_topples_a_cold_machine_none_is_kept_from_it(multiple, span):
    made = make_router(caches=1)
    made.endpoints.cache_slow_start.__init__(multiple, span, 0.2, 10.0)
    made.endpoints.edge_caches[0].started = 99.9
    for number in range(20):
        _, caller = route_request(made, key=number)
        assert caller.forwards[0].server is made.endpoints.edge_caches[0]


@pytest.mark.parametrize("field", ["connectTimeoutMs", "connIdleMs", "maxStreams"])
def test_times_and_streams_of_0_are_faults_that_name_their_key(field):
    with pytest.raises(MalformedError, match=field):
        config.connection_limits({"settings": {"limits": {field: 0}}})
