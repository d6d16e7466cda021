"""A router with a planted fault, so that each check can be seen to fail: python -m bench.soak.planted FAULT"""

from __future__ import annotations

import itertools
import os
import sys
import time
from collections.abc import Callable

HARM_INTERVAL = 40  # requests: one of so many is harmed


def _every_nth_call(count: int) -> Callable[[], bool]:
    numbers = itertools.count(1)
    return lambda: next(numbers) % count == 0


def dropped_answer() -> None:
    """One answer in EVERY is not written."""
    _harm_answers(lambda connection, call, body, fields, serve: connection.open_requests.pop(call, None))


def second_answer() -> None:
    """One answer in EVERY is written twice."""

    def twice(connection, call, body, fields, serve) -> None:
        serve(connection, call, body, fields)
        connection.send_error(call, "Overloaded", {})

    _harm_answers(twice)


def late_answer() -> None:
    """One answer in EVERY comes four seconds late."""
    _harm_answers(
        lambda connection, call, body, fields, serve: connection.clients.deadlines.call_after(
            4.0, serve, connection, call, body, fields
        )
    )


def wrong_bytes() -> None:
    """One answer in EVERY is served with no bytes."""
    _harm_answers(lambda connection, call, body, fields, serve: serve(connection, call, None, fields))


def _harm_answers(harm: Callable[..., object]) -> None:
    from wickhinge.net.downstream.client_connection import ClientConnection

    serve, is_harmed = ClientConnection.send_answer, _every_nth_call(HARM_INTERVAL)

    def harmed(self, call, body, fields):
        if is_harmed():
            harm(self, call, body, fields, serve)
        else:
            serve(self, call, body, fields)

    ClientConnection.send_answer = harmed


def forgotten_reload() -> None:
    """Reloads are noted and never done."""
    from wickhinge.common.config_reload import ConfigReload

    ConfigReload.request = lambda self, number: None


def deaf_to_the_last_reload() -> None:
    """A reload that follows another is taken for the same one."""
    from wickhinge.common.config_reload import ConfigReload

    request, last = ConfigReload.request, [0.0]

    def deaf(self, number):
        now, last[0] = last[0], time.monotonic()
        if last[0] - now > 0.5:
            request(self, number)

    ConfigReload.request = deaf


def attempt_after_the_end() -> None:
    """Some requests begin 0.3 s after they were read, whether or not their client has left or cancelled meanwhile."""
    from wickhinge.net.downstream.client_connection import ClientConnection

    begin, is_harmed = ClientConnection.begin_request, _every_nth_call(3)

    def late(self, call, method, params, arrival):
        if is_harmed():
            self.clients.deadlines.call_after(0.3, begin, self, call, method, params, arrival)
        else:
            begin(self, call, method, params, arrival)

    ClientConnection.begin_request = late
    ClientConnection.is_request_open = lambda self, call: True


def sent_twice() -> None:
    """What may not be repeated is taken for what may."""
    from wickhinge import interface, settings

    build = settings.build_router

    def all_idempotent(*arguments):
        decisions, classes = build(*arguments)
        for request_class in classes.values():
            object.__setattr__(request_class, "idempotency", interface.Idempotency.IDEMPOTENT)  # it is frozen
        return decisions, classes

    settings.build_router = all_idempotent


def whole_budget() -> None:
    """A server is told of a second more than the client has left."""
    from wickhinge.net.upstream import attempts

    pack = attempts.resp.pack

    def generous(*items: bytes) -> bytes:
        if items[0] == b"REQ":
            fields = [pair.partition(b"=") for pair in items[2].split(b",")]
            told = [
                (name + b"=" + (b"%d" % (int(value) + 1000) if name == b"budget" else value))
                for name, _, value in fields
            ]
            items = (*items[:2], b",".join(told), *items[3:])
        return pack(*items)

    attempts.resp.pack = generous


def drain_ignored() -> None:
    """Draining servers stay in use."""
    from wickhinge.routing.endpoints import Endpoints

    update = Endpoints.update
    Endpoints.update = lambda self, listed, now, *, complete: update(
        self, [endpoint for endpoint in listed if endpoint.state != "draining"], now, complete=complete
    )


def purge_ignored() -> None:
    """Purges are read and forgotten."""
    from wickhinge.routing.purges import Purges

    Purges.record_purge = lambda self, key, group, stamp, now: None


def cold_ignored() -> None:
    """Slow start limits nothing."""
    from wickhinge.routing.slow_start import SlowStart

    SlowStart.capacity_share = lambda self, server, now: 1.0


def exit_code() -> None:
    """The program ends with 3."""
    from wickhinge.net.control import start

    start.EXIT_OK = 3


def no_end() -> None:
    """SIGTERM is heard, and nothing follows."""
    from wickhinge.net.control.graceful_shutdown import GracefulShutdown

    GracefulShutdown.begin = lambda self, *arguments: None


def all_rejected() -> None:
    """Every request after the first hundred is rejected at once."""
    from wickhinge.interface import RejectionReason
    from wickhinge.routing.routed_request import RoutedRequest

    numbers, try_edge_cache = itertools.count(1), RoutedRequest.try_edge_cache

    def reject(self, now):
        if next(numbers) > 100:
            self.give_up(now, RejectionReason.TOO_LATE)
        else:
            try_edge_cache(self, now)

    RoutedRequest.try_edge_cache = reject


def class_rejected() -> None:
    """One class gets nothing."""
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
    """The shutdown gives up a second before the end of the last requests."""
    from wickhinge.net.control import graceful_shutdown

    graceful_shutdown.GIVE_UP_AFTER_DEADLINE_S = -0.4
    graceful_shutdown.LAST_ANSWER_AFTER_DEADLINE_S = -0.4


def closed_listener() -> None:
    """From SIGTERM on no connection is accepted."""
    from wickhinge.net.control.readiness import Readiness

    drain = Readiness.drain

    def closing(self):
        drain(self)
        self.close()

    Readiness.drain = closing


def deaf_ping() -> None:
    """`ping` says yes to the very end."""
    from wickhinge.net.downstream.client_connections import ClientConnections

    ClientConnections.drain = lambda self: None


def descriptors_kept() -> None:
    """Each accepted connection leaves a descriptor behind."""
    from wickhinge.net.downstream.client_connection import ClientConnection

    made = ClientConnection.connectionMade

    def leaking(self):
        for _ in range(8):
            os.open(os.devnull, os.O_RDONLY)
        made(self)

    ClientConnection.connectionMade = leaking


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
    """Runs a router with this fault to its end."""
    from wickhinge.common.process_signals import received_signals

    received_signals.install()
    FAULTS[fault]()
    from wickhinge.net.control import start

    start.exit_process(start.main())


if __name__ == "__main__":
    main(sys.argv[1])
