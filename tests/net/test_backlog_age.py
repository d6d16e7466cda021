"""The bound on the time that connections have waited in a backlog that never empties."""

import socket
import time

import pytest

from wickhinge.net.downstream.backlog_age import BacklogAge, waiting_connections

MAX_CONNECTIONS = 20
ACCEPTED_PER_TURN = 4


@pytest.mark.parametrize("is_count_known", [True, False])
def test_bound_in_a_backlog_that_never_empties_is_as_old_as_the_connections_that_it_holds(is_count_known):
    """It was as old as the last time at which the backlog was empty, so that new requests were refused as too old."""
    backlog, waiting, now = BacklogAge(), [0.0], 0.0
    for _ in range(200):
        now += 1.0
        waiting += [now] * min(ACCEPTED_PER_TURN, MAX_CONNECTIONS - len(waiting))
        for _ in range(min(ACCEPTED_PER_TURN, len(waiting) - 1)):
            arrival = waiting.pop(0)
            since = backlog.connection_accepted()
            assert since is None or since <= arrival
        backlog.left_waiting(now, now, len(waiting) if is_count_known else MAX_CONNECTIONS)
    assert now - backlog.since <= 2 * MAX_CONNECTIONS / ACCEPTED_PER_TURN


def test_bound_after_the_backlog_was_empty_is_the_arrival_of_the_first_connection_that_waits():
    backlog = BacklogAge()
    backlog.left_waiting(1.0, 2.0, 0)
    backlog.emptied()
    assert backlog.connection_accepted() is None
    backlog.left_waiting(3.0, 4.0, 1)
    assert backlog.connection_accepted() == 3.0


def test_connections_that_wait_are_counted_where_the_system_tells():
    with socket.create_server(("127.0.0.1", 0), backlog=8) as listening:
        clients = [socket.create_connection(listening.getsockname()) for _ in range(3)]
        deadline = time.monotonic() + 5.0
        while waiting_connections(listening, 9) != len(clients) and time.monotonic() < deadline:
            time.sleep(0.01)
        assert waiting_connections(listening, 9) == len(clients)
        assert waiting_connections(clients[0], 9) == 9
        for client in clients:
            client.close()
