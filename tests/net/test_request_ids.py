"""Ids of requests that come again."""

from types import SimpleNamespace

import pytest

from tests.support.connections import make_buffer_pool
from tests.support.routing import make_request_class, make_router
from wickhinge.net.downstream.request_table import (
    MAX_RIDS_PER_SET,
    MIN_RIDS_PER_SET,
    InvalidRequestError,
    RequestTable,
)
from wickhinge.net.runtime.memory_budget import BYTES_PER_MB, MemoryBudget

REQUESTS_PER_S = 2000.0


class World:
    """A table whose requests are all rejected at once, since there is no server, and a clock."""

    def __init__(self):
        self.now = 100.0
        clock = SimpleNamespace(now=lambda: self.now, call_at=lambda *_: None)
        attempts = SimpleNamespace(
            decisions=make_router(caches=0, parents=0, direct_to_source=False), local_copies=None
        )
        self.request_class = make_request_class()
        self.table = RequestTable(
            attempts,
            clock,
            make_buffer_pool()[0],
            {"t": self.request_class},
            lambda *_, **more: None,
            [].append,
            MemoryBudget(BYTES_PER_MB).open_requests,
        )

    def start(self, number):
        client = SimpleNamespace(send_error=lambda call_id, error, fields: None)
        fields = {"rid": f"{number:016x}", "budget": "1000", "obj": "0" * 16}
        self.table.start_request(client, 1, "t", fields, b"", self.now)

    def start_others(self, seconds, first=1):
        for number in range(first, first + int(seconds * REQUESTS_PER_S)):
            self.now += 1 / REQUESTS_PER_S
            self.start(number)


def test_id_that_comes_again_among_thousands_of_others_while_its_request_may_run_is_rejected():
    """The latest 2,048 to 4,096 ids were known, however soon that many came; the request then ran twice."""
    world = World()
    world.start(0)
    world.start_others(0.95 * world.request_class.timeout)
    with pytest.raises(InvalidRequestError):
        world.start(0)


def test_known_ids_are_bounded():
    world = World()
    world.start_others(4 * MAX_RIDS_PER_SET / REQUESTS_PER_S)
    assert MIN_RIDS_PER_SET <= len(world.table.recent_rids | world.table.older_rids) <= 2 * MAX_RIDS_PER_SET
    world.now += 100.0
    world.start_others(2 * MIN_RIDS_PER_SET / REQUESTS_PER_S, first=10**6)
    assert len(world.table.recent_rids) <= MAX_RIDS_PER_SET
