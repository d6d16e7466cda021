"""The bound on the time that connections have waited in a backlog that never empties."""

from wickhinge.net.downstream.backlog_age import BacklogAge

MAX_CONNECTIONS = 20
ACCEPTED_PER_TURN = 4


def test_bound_in_a_backlog_that_never_empties_is_as_old_as_the_connections_that_it_holds():
    """It was as old as the last time at which the backlog was empty, so that new requests were refused as too old."""
    backlog, waiting, now = BacklogAge(MAX_CONNECTIONS), [0.0], 0.0
    for _ in range(200):
        now += 1.0
        waiting += [now] * min(ACCEPTED_PER_TURN, MAX_CONNECTIONS - len(waiting))
        for _ in range(min(ACCEPTED_PER_TURN, len(waiting) - 1)):
            arrival = waiting.pop(0)
            since = backlog.connection_accepted()
            assert since is None or since <= arrival
        backlog.left_waiting(now, now)
    assert now - backlog.since <= 2 * MAX_CONNECTIONS / ACCEPTED_PER_TURN


def test_bound_after_the_backlog_was_empty_is_the_arrival_of_the_first_connection_that_waits():
    backlog = BacklogAge(MAX_CONNECTIONS)
    backlog.left_waiting(1.0, 2.0)
    backlog.emptied()
    assert backlog.connection_accepted() is None
    backlog.left_waiting(3.0, 4.0)
    assert backlog.connection_accepted() == 3.0
