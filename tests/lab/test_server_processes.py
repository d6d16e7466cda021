"""Simulated servers whose process ends: what the process had begun does not reach the process after it."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickhinge.interface import Outcome
from wickhinge.lab.event_queue import EventQueue
from wickhinge.lab.scenario import parse_scenario
from wickhinge.lab.servers import Network, SimulatedServer
from wickhinge.lab.simulation import Simulation

CACHE, PARENT, ORIGIN = 1, 2, 3
LATENCY_S, PART_S, END_S = 0.001, 0.05, 5.0


def build_network():
    """Return the event queue, the servers by id and the network between them."""
    events = EventQueue()
    servers = {
        number: SimulatedServer(events, number, kind, 10.0, 100, (0.5, 1.0), (1e9, 1.0), 0.01, lambda *_: None)
        for number, kind in ((CACHE, "box"), (PARENT, "parent"), (ORIGIN, "origin"))
    }
    return events, servers, Network(events, servers, servers[ORIGIN], LATENCY_S, PART_S)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.integers(0, 2**32 - 1))
def test_process_that_gets_no_requests_has_no_copies_and_no_work_from_the_process_before_it(seed):
    rand = random.Random(seed)
    events, servers, network = build_network()
    crashing = servers[rand.choice((CACHE, PARENT))]
    outcomes = []
    request_count, last_request_at = rand.randint(1, 8), 0.1
    for key in range(request_count):
        arguments = (CACHE, (key, 0), PARENT, 1, None, None, lambda outcome, *_: outcomes.append(outcome))
        events.call_at(last_request_at * rand.random(), network.send, *arguments)
    crash_at = last_request_at + rand.uniform(2 * LATENCY_S, 3 * PART_S)
    events.run(crash_at)
    crashing.crash(rand.choice((0.0005, 0.02, 0.1)))
    work_done, request_count_then = crashing.capacity.total_work, crashing.request_count
    events.run(END_S)
    assert crashing.is_up and not crashing.store.rank_of
    assert crashing.capacity.total_work == work_done and crashing.request_count == request_count_then
    assert len(outcomes) == request_count
    assert set(outcomes) <= {Outcome.SUCCEEDED, Outcome.CONNECTION_LOST, Outcome.ERROR}


@pytest.mark.parametrize("failure", ["hang", "slow"])
def test_failure_of_a_process_ends_with_it_and_does_not_change_the_next_process(failure):
    scenario = parse_scenario(
        f"""name: "failures", seconds: 6, seed: 5, visits_per_s: 1, restart_s: 0.5
        failures: [
            {{kind: "{failure}", at_s: 1.0, for_s: 3.0, target: 0, factor: 5.0}},
            {{kind: "crash", at_s: 2.0, for_s: 0.5, target: 0}},
            {{kind: "slow", at_s: 3.0, for_s: 2.5, target: 0, factor: 7.0}},
        ]""",
        "failures",
    )
    simulation = Simulation(scenario)
    server = simulation.servers[1]
    simulation.events.run(4.5)
    assert (server.is_up, server.started_at, server.slowdown) == (True, 2.5, 7.0)
    simulation.events.run(5.6)
    assert server.slowdown == 1.0
