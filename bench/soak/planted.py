"""Runs a router with a planted fault, so that the checks of the soak test can be seen to fail.

python -m bench.soak.planted FAULT
"""

from __future__ import annotations

import itertools
import os
import sys
import time
from collections.abc import Callable

HARM_INTERVAL = 40  # One of this many answers is dropped, repeated, delayed or changed.


def _every_nth_call(count: int) -> Callable[[], bool]:
    """Return a function that returns true on each call whose number is a multiple of `count`."""
    numbers = itertools.count(1)
    return lambda: next(numbers) % count == 0


def dropped_answer() -> None:
    """Drop one answer in HARM_INTERVAL."""
    _harm_answers(lambda connection, call, body, fields, serve: connection.open_requests.pop(call, None))


def second_answer() -> None:
    """Write a second answer, a rejection, after one answer in HARM_INTERVAL."""

    def answer_twice(connection, call, body, fields, serve) -> None:
        serve(connection, call, body, fields)
        connection.send_error(call, "Overloaded", {})

    _harm_answers(answer_twice)


def late_answer() -> None:
    """Delay one answer in HARM_INTERVAL by four seconds."""
    _harm_answers(
        lambda connection, call, body, fields, serve: connection.clients.deadlines.call_after(
            4.0, serve, connection, call, body, fields
        )
    )


def wrong_bytes() -> None:
    """Serve one answer in HARM_INTERVAL without its body."""
    _harm_answers(lambda connection, call, body, fields, serve: serve(connection, call, None, fields))


def _harm_answers(harm: Callable[..., object]) -> None:
    """Call `harm` in place of ClientConnection.send_answer for one answer in HARM_INTERVAL."""
    from wickhinge.net.downstream.client_connection import ClientConnection

    serve, is_harmed = ClientConnection.send_answer, _every_nth_call(HARM_INTERVAL)

    def send_or_harm(self, call, body, fields):
        if is_harmed():
            harm(self, call, body, fields, serve)
        else:
            serve(self, call, body, fields)

    ClientConnection.send_answer = send_or_harm


def forgotten_reload() -> None:
    """Ignore each request to reload the configuration."""
    from wickhinge.common.config_reload import ConfigReload

    ConfigReload.request = lambda self, number: None


def deaf_to_the_last_reload() -> None:
    """Ignore a reload that follows another one within half a second."""
    from wickhinge.common.config_reload import ConfigReload

    request, last_time = ConfigReload.request, [0.0]

    def request_unless_recent(self, number):
        previous_time, last_time[0] = last_time[0], time.monotonic()
        if last_time[0] - previous_time > 0.5:
            request(self, number)

    ConfigReload.request = request_unless_recent


def attempt_after_the_end() -> None:
    """Begin one request in three 0.3 s late, even if its client has closed the connection or cancelled meanwhile."""
    from wickhinge.net.downstream.client_connection import ClientConnection

    begin, is_harmed = ClientConnection.begin_request, _every_nth_call(3)

    def begin_late(self, call, method, params, arrival):
        if is_harmed():
            self.clients.deadlines.call_after(0.3, begin, self, call, method, params, arrival)
        else:
            begin(self, call, method, params, arrival)

    ClientConnection.begin_request = begin_late
    ClientConnection.is_request_open = lambda self, call: True


def sent_twice() -> None:
    """Treat all classes of requests as idempotent, so that side effects may be repeated."""
    from wickhinge import interface, settings

    build = settings.build_router

    def all_idempotent(*arguments):
        decisions, classes = build(*arguments)
        for request_class in classes.values():
            object.__setattr__(request_class, "idempotency", interface.Idempotency.IDEMPOTENT)  # The struct is frozen.
        return decisions, classes

    settings.build_router = all_idempotent


def whole_budget() -> None:
    """Pass on to servers a budget of one second more than the client has left."""
    from wickhinge.net.upstream import attempts

    pack = attempts.resp.pack

    def pack_with_larger_budget(*items: bytes) -> bytes:
        if items[0] == b"REQ":
            fields = [pair.partition(b"=") for pair in items[2].split(b",")]
            changed_fields = [
                (name + b"=" + (b"%d" % (int(value) + 1000) if name == b"budget" else value))
                for name, _, value in fields
            ]
            items = (*items[:2], b",".join(changed_fields), *items[3:])
        return pack(*items)

    attempts.resp.pack = pack_with_larger_budget


def drain_ignored() -> None:
    """Drop each endpoint update that marks a server as draining, so that the server stays in use."""
    from wickhinge.routing.endpoints import Endpoints

    update = Endpoints.update
    Endpoints.update = lambda self, listed, now, *, complete: update(
        self, [endpoint for endpoint in listed if endpoint.state != "draining"], now, complete=complete
    )


def purge_ignored() -> None:
    """Ignore all purges."""
    from wickhinge.routing.purges import Purges

    Purges.record_purge = lambda self, key, group, stamp, now: None


def cold_ignored() -> None:
    """Give servers that restarted empty their full capacity at once, without slow start."""
    from wickhinge.routing.slow_start import SlowStart

    SlowStart.capacity_share = lambda self, server, now: 1.0


def exit_code() -> None:
    """Exit with code 3 instead of 0."""
    from wickhinge.net.control import start

    start.EXIT_OK = 3


def no_end() -> None:
    """Ignore SIGTERM."""
    from wickhinge.net.control.graceful_shutdown import GracefulShutdown

    GracefulShutdown.begin = lambda self, *arguments: None


def all_rejected() -> None:
    """Reject each request after the first hundred at once."""
    from wickhinge.interface import RejectionReason
    from wickhinge.routing.routed_request import RoutedRequest

    request_numbers, try_edge_cache = itertools.count(1), RoutedRequest.try_edge_cache

    def reject(self, now):
        if next(request_numbers) > 100:
            self.give_up(now, RejectionReason.TOO_LATE)
        else:
            try_edge_cache(self, now)

    RoutedRequest.try_edge_cache = reject


def class_rejected() -> None:
    """Reject all requests of the class `pages`."""
    from wickhinge.interface import RejectionReason
    from wickhinge.routing.routed_request import RoutedRequest

    try_edge_cache = RoutedRequest.try_edge_cache

    def reject(self, now):
        if self.request_class.name == "pages":
            self.give_up(now, RejectionReason.TOO_LATE)
        else:
            try_edge_cache(self, now)

    RoutedRequest.try_edge_cache = reject


def early_end() -> None:
    """End the shutdown a second before the deadline of the last requests."""
    from wickhinge.net.control import graceful_shutdown

    graceful_shutdown.GIVE_UP_AFTER_DEADLINE_S = -0.4
    graceful_shutdown.LAST_ANSWER_AFTER_DEADLINE_S = -0.4


def closed_listener() -> None:
    """Accept no connection from SIGTERM on."""
    from wickhinge.net.control.readiness import Readiness

    drain = Readiness.drain

    def drain_and_close(self):
        drain(self)
        self.close()

    Readiness.drain = drain_and_close


def deaf_ping() -> None:
    """Answer `ping` with true even after SIGTERM."""
    from wickhinge.net.downstream.client_connections import ClientConnections

    ClientConnections.drain = lambda self: None


def descriptors_kept() -> None:
    """Leak eight descriptors for each accepted connection."""
    from wickhinge.net.downstream.client_connection import ClientConnection

    connection_made = ClientConnection.connectionMade

    def leak_descriptors(self):
        for _ in range(8):
            os.open(os.devnull, os.O_RDONLY)
        connection_made(self)

    ClientConnection.connectionMade = leak_descriptors


FAULTS = {
    plant.__name__: plant
    for plant in (
        dropped_answer,
        second_answer,
        late_answer,
        wrong_bytes,
        forgotten_reload,
        deaf_to_the_last_reload,
        attempt_after_the_end,
        sent_twice,
        whole_budget,
        drain_ignored,
        purge_ignored,
        cold_ignored,
        exit_code,
        no_end,
        all_rejected,
        class_rejected,
        early_end,
        closed_listener,
        deaf_ping,
        descriptors_kept,
    )
}


def main(fault: str) -> None:
    """Plant the fault and run a router until it exits."""
    from wickhinge.common.process_signals import received_signals

    received_signals.install()
    FAULTS[fault]()
    from wickhinge.net.control import start

    start.exit_process(start.main())


if __name__ == "__main__":
    main(sys.argv[1])
