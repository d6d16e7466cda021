"""The memory budget, what is given up when it is exceeded, and what holders count; without sockets."""

import os
from types import SimpleNamespace

import pytest

from tests.support.connections import make_buffer_pool
from wickhinge.net.downstream import msgpack
from wickhinge.net.downstream.memory_relief import MIN_PARTIAL_AGE_S, MIN_WRITE_STALL_S, MemoryRelief
from wickhinge.net.downstream.queued_request import request_bytes
from wickhinge.net.downstream.write_queue import ServedAnswer, WriteQueue
from wickhinge.net.runtime.buffers import BUFFER_BYTES, MAX_FREE_BUFFERS, Body, BufferPool
from wickhinge.net.runtime.memory_budget import (
    BYTES_PER_MB,
    MIN_CAPACITY_BYTES,
    TRANSIENT_BYTES,
    MemoryBudget,
    peak_resident_bytes,
)

LIMIT_BYTES, PROGRAM_BYTES = 64 * BYTES_PER_MB, 30 * BYTES_PER_MB


def make_budget(peak_bytes=PROGRAM_BYTES):
    """Return a started budget, and a list whose only item is the process's peak of resident memory."""
    peak = [peak_bytes]
    budget = MemoryBudget(LIMIT_BYTES, lambda: peak[0])
    budget.start()
    return budget, peak


def test_budget_is_the_limit_less_the_program_and_less_what_no_account_explains():
    budget, peak = make_budget()
    assert budget.capacity_bytes == LIMIT_BYTES - PROGRAM_BYTES - TRANSIENT_BYTES
    budget.partial_messages.add(4 * BYTES_PER_MB)
    peak[0] += 4 * BYTES_PER_MB
    budget.partial_messages.add(-4 * BYTES_PER_MB)
    budget.compare()
    assert budget.capacity_bytes == LIMIT_BYTES - PROGRAM_BYTES - TRANSIENT_BYTES
    peak[0] += 3 * BYTES_PER_MB
    budget.compare()
    assert budget.capacity_bytes == LIMIT_BYTES - PROGRAM_BYTES - TRANSIENT_BYTES - 3 * BYTES_PER_MB


def test_budget_of_a_process_near_its_limit_still_lets_requests_be_served():
    budget, _ = make_budget(LIMIT_BYTES)
    assert budget.capacity_bytes == MIN_CAPACITY_BYTES and not budget.is_exceeded()


def test_report_names_each_holder():
    budget, _ = make_budget()
    budget.bodies.add(2_000_000)
    budget.bodies.add(-500_000)
    holders = budget.report_fields()["holders"]
    assert holders["bodies"] == {"held_kb": 1500, "peak_kb": 2000}
    assert set(holders) >= {"client_connections", "partial_messages", "waiting_requests", "unread_answers", "bodies"}


def test_peak_of_resident_memory_is_that_of_this_program():
    """getrusage(2) tells at least what the process had resident before it executed the program."""
    with open("/proc/self/statm") as statm:
        resident_bytes = int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    assert 0.5 * resident_bytes < peak_resident_bytes() < 100 * resident_bytes


class RecordedClient:
    """A client that holds what the test says and records what is done to it."""

    def __init__(self, budget, partial=0, waiting=0, unread=0):
        self.budget, self.calls = budget, []
        self.partial, self.queued_bytes = partial, waiting
        self.open_requests, self.queued_requests = {}, {1: None} if waiting else {}
        self.write_queue = SimpleNamespace(plain_bytes=unread, unbegun_body_bytes=lambda: 0)
        self.is_throttled = self.is_out_of_memory = self.has_ended = False
        self.is_socket_drained = True
        budget.partial_messages.add(partial)
        budget.waiting_requests.add(waiting)
        budget.unread_answers.add(unread)

    def complete_or_close(self, reason):
        self.calls.append("closed")
        self.has_ended = True
        self.budget.partial_messages.add(-self.partial)
        return True

    def reject_queued(self, reason):
        self.calls.append("rejected")
        self.budget.waiting_requests.add(-self.queued_bytes)
        self.queued_requests = {}

    def is_write_stalled(self, now, min_stall_s):
        assert min_stall_s == MIN_WRITE_STALL_S
        return self.write_queue.plain_bytes > 0

    def fail(self, reason):
        self.calls.append("failed")
        self.budget.unread_answers.add(-self.write_queue.plain_bytes)


class World:
    """Clients, a clock and timers for the relief of memory."""

    def __init__(self):
        self.budget, _ = make_budget()
        self.now, self.scheduled = 100.0, []
        self.throttled = []
        self.clients = SimpleNamespace(
            connections=set(),
            partial_message_since={},
            fair_reading=SimpleNamespace(throttle=self.throttled.append),
        )
        clock = SimpleNamespace(
            now=lambda: self.now,
            call_soon=lambda call: self.scheduled.append(call),
            call_after=lambda delay, call: self.scheduled.append(call),
        )
        self.relief = MemoryRelief(self.clients, self.budget, clock)

    def add(self, age_s=0.0, **held):
        client = RecordedClient(self.budget, **held)
        self.clients.connections.add(client)
        if client.partial:
            self.clients.partial_message_since[client] = self.now - age_s
        return client

    def run_scheduled(self):
        calls, self.scheduled = self.scheduled, []
        for call in calls:
            call()


@pytest.fixture
def world():
    return World()


def test_client_with_an_incomplete_message_is_not_read_on_when_the_budget_is_exceeded(world):
    """All clients together held 64 KB each, whatever the limit."""
    first = world.add(partial=1000)
    world.relief.partial_message_grew(first)
    assert not first.is_out_of_memory and not world.scheduled
    second = world.add(partial=world.budget.capacity_bytes)
    world.relief.partial_message_grew(second)
    assert second.is_out_of_memory and world.throttled == [second]
    world.run_scheduled()
    assert second.calls == [] and world.scheduled  # Its message is too young to be given up, so it is looked at again.


def test_oldest_incomplete_messages_are_given_up_until_there_is_room_for_others(world):
    clients = [
        world.add(age_s=MIN_PARTIAL_AGE_S + 1.0 - number / 10, partial=world.budget.capacity_bytes // 15)
        for number in range(5)
    ]
    world.relief.partial_message_grew(clients[-1])
    assert clients[-1].is_out_of_memory
    world.run_scheduled()
    assert [client.calls for client in clients] == [["closed"]] * 3 + [[]] * 2
    assert not clients[-1].is_out_of_memory and world.budget.has_room_for_partial_messages()
    assert world.budget.relief_count == {"partial_messages": 3}


def test_oldest_client_that_memory_keeps_from_being_read_is_closed_for_room(world):
    clients = [world.add(age_s=age_s, partial=world.budget.capacity_bytes // 2) for age_s in (0.3, 0.1)]
    assert not world.relief.close_oldest_blocked(0.25)
    for client in clients:
        world.relief.partial_message_grew(client)
    assert world.relief.close_oldest_blocked(0.25)
    assert [client.calls for client in clients] == [["closed"], []]


def test_waiting_requests_are_rejected_before_clients_that_take_no_answers_are_closed(world):
    few, many = world.add(waiting=1000), world.add(waiting=world.budget.capacity_bytes)
    stalled = world.add(unread=world.budget.capacity_bytes // 2)
    world.relief.set_check()
    world.run_scheduled()
    assert (few.calls, many.calls, stalled.calls) == ([], ["rejected"], [])
    stalled_too = world.add(unread=world.budget.capacity_bytes)
    world.relief.set_check()
    world.run_scheduled()
    assert (few.calls, stalled.calls, stalled_too.calls) == (["rejected"], [], ["failed"])


def test_buffers_that_are_free_are_kept_up_to_a_number_and_counted():
    budget, _ = make_budget()
    pool = BufferPool(100, lambda: None, lambda: None, budget.bodies)
    buffers = [pool.acquire() for _ in range(20)]
    assert budget.bodies.held_bytes == 20 * BUFFER_BYTES
    for buffer in buffers:
        pool.give_back(buffer)
    assert budget.bodies.held_bytes == MAX_FREE_BUFFERS * BUFFER_BYTES == len(pool.free) * BUFFER_BYTES


def make_answer(pool, call_id, size):
    return ServedAnswer(call_id, b"head%d" % call_id, Body(pool, b"x" * size), b"tail")


def test_answers_are_written_in_order_at_any_split():
    pool, _ = make_buffer_pool(limit=99)
    for step in (1, 3, 7, 40_000, 10**6):
        budget, _ = make_budget()
        queue, written = WriteQueue(budget.unread_answers), b""
        for item in (b"first", make_answer(pool, 1, 70_000 if step > 100 else 50), b"", make_answer(pool, 2, 3)):
            queue.append(item)
        while queue:
            piece = b"".join(queue.views())[:step]
            written += piece
            queue.drop_written(len(piece) or 1)
        assert written.startswith(b"firsthead1xxx") and written.endswith(b"xtailhead2xxxtail")
        assert pool.in_use == 0 and budget.unread_answers.held_bytes == 0


def test_answers_that_are_not_begun_are_removed_and_one_that_is_begun_is_kept():
    pool, _ = make_buffer_pool(limit=99)
    queue = WriteQueue(make_budget()[0].unread_answers)
    for item in (make_answer(pool, 1, 50), b"error", make_answer(pool, 2, 50)):
        queue.append(item)
    queue.drop_written(3)
    assert queue.unbegun_body_bytes() == 50 and queue.remove_unbegun() == [2]
    assert b"".join(queue.views()) == b"d1" + b"x" * 50 + b"tail" + b"error" and pool.in_use == 1
    queue.clear()
    assert pool.in_use == 0


def test_arrays_in_a_message_of_very_many_values_are_not_built():
    """32 such requests of each of 340 clients took 366 MB while they waited."""
    few, many = {"a": [[], [1]]}, {f"{number:x}": [[]] * 13 for number in range(60)}
    messages = [[0, call, "pages", [fields, b""]] for call, fields in ((1, few), (2, many))]
    decoded = msgpack.MessageDecoder().feed(b"".join(msgpack.pack(message) for message in messages))
    assert decoded[0] == messages[0]
    assert set(decoded[1][3][0]) == set(many) and decoded[1][3][0]["3b"] == msgpack.UNBUILT


def test_estimate_of_a_waiting_request_counts_its_fields_and_its_body():
    fields = {f"name{number}": "x" * 20 for number in range(8)}
    assert request_bytes([fields, b"x" * 5000]) - request_bytes([fields, b""]) == 5000
    assert request_bytes([fields, b""]) - request_bytes([{}, b""]) > 8 * (len("name0") + 20 + 2 * 49)
