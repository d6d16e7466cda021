"""Tests of the simulation `wickhinge lab`.

The event queue and the service models are compared with queueing theory, the rule checks must find planted faults, and
experiments must be reproducible.
"""

import os
import random
from heapq import heappop, heappush

import msgspec
import pytest
from click.testing import CliRunner

from wickhinge.cli import main
from wickhinge.lab import experiments
from wickhinge.lab.event_queue import EventQueue
from wickhinge.lab.scenario import bundled_scenarios, parse_scenario
from wickhinge.lab.service_queues import ServerQueue, SharedCapacity
from wickhinge.lab.simulation import Simulation
from wickhinge.lab.stats import compare_pairs, confidence_interval
from wickhinge.options import OptionsError

SMALL_SCENARIO = 'name: "small"\nseconds: 12\nwarm_s: 2\nrouters: 2\ncaches: 4\nobjects: 300\nvisits_per_s: 60\n'


def test_event_queue_calls_events_by_time_and_then_in_the_order_of_adding():
    chance, queue, called, heap, expected = random.Random(2), EventQueue(), [], [], []
    for serial in range(3000):
        when = round(chance.choice([chance.random(), chance.random() * 50, 0.5]), 4)
        queue.call_at(when, called.append, serial)
        heappush(heap, (when, serial))
    queue.call_at(0.25, lambda: [queue.call_after(delay, called.append, -1) for delay in (0.0, 0.0001, 3.0)])
    heappush(heap, (0.25, -1)), heappush(heap, (0.2501, -1)), heappush(heap, (3.25, -1))
    while heap:
        expected.append(heappop(heap)[1])
    queue.run(20.0)
    assert queue.now == 20.0 and len(queue) > 0
    queue.run(60.0)
    assert [serial for serial in called if serial >= 0] == [serial for serial in expected if serial >= 0]
    assert len(queue) == 0 and queue.processed_count == 3004


def mean_wait(work_distribution, load, servers=1, seed=1, arrival_count=60_000):
    """Return the mean wait in a server queue with exponential arrivals; the mean work is 1 s, "M" or "D"."""
    queue, chance, waits = EventQueue(), random.Random(seed), []
    service = ServerQueue(queue, servers)

    def arrive(remaining):
        work = chance.expovariate(1.0) if work_distribution == "M" else 1.0
        arrived_at = queue.now
        service.submit(work, lambda: waits.append(queue.now - arrived_at - work))
        if remaining:
            queue.call_after(chance.expovariate(load * servers), arrive, remaining - 1)

    arrive(arrival_count)
    queue.run(1e9)
    return sum(waits) / len(waits)


# The expected means are those of the Pollaczek-Khinchine formula, and of Erlang's C formula for two servers.
@pytest.mark.parametrize(
    "work_distribution, load, servers, mean",
    [
        ("M", 0.5, 1, 0.5 / 0.5),
        ("M", 0.8, 1, 0.8 / 0.2),
        ("D", 0.5, 1, 0.5 / (2 * 0.5)),
        ("D", 0.8, 1, 0.8 / (2 * 0.2)),
        ("M", 0.8, 2, 1.778),
    ],
)
def test_mean_wait_in_a_server_queue_agrees_with_queueing_theory(work_distribution, load, servers, mean):
    assert mean_wait(work_distribution, load, servers) == pytest.approx(mean, rel=0.1)


def test_shared_capacity_is_shared_equally_and_its_mean_duration_agrees_with_theory():
    queue, ends = EventQueue(), []
    link = SharedCapacity(queue, 1.0)
    for work in (1.0, 2.0, 3.0):
        link.submit(work, lambda work=work: ends.append((work, queue.now)))
    queue.call_at(1.5, link.submit, 1.0, lambda: ends.append((0, queue.now)))
    queue.run(100.0)
    # At 1.5 s, each of three jobs has got 0.5 s of work; four jobs share the link until the first one ends at 3.5 s,
    # three until the added job ends at 5 s, and two until the second one ends at 6 s.
    assert ends == [
        (1.0, pytest.approx(3.5)),
        (0, pytest.approx(5.0)),
        (2.0, pytest.approx(6.0)),
        (3.0, pytest.approx(7.0)),
    ]
    queue, chance, durations = EventQueue(), random.Random(3), []
    link = SharedCapacity(queue, 1.0)

    def arrive(remaining):
        arrived_at = queue.now
        link.submit(chance.expovariate(1.0), lambda: durations.append(queue.now - arrived_at))
        if remaining:
            queue.call_after(chance.expovariate(0.7), arrive, remaining - 1)

    arrive(40_000)
    queue.run(1e9)
    # The mean duration in M/M/1 with processor sharing is 1 / (1 - load).
    assert sum(durations) / len(durations) == pytest.approx(1 / (1 - 0.7), rel=0.1)


def test_shared_capacity_when_a_job_is_cancelled_gives_its_share_to_the_others():
    queue, ends = EventQueue(), []
    link = SharedCapacity(queue, 1.0)
    first = link.submit(1.0, ends.append, "a")
    link.submit(1.0, lambda: ends.append(queue.now))
    queue.call_at(1.0, link.cancel, first)
    queue.run(10.0)
    assert ends == [1.5] and len(link) == 0


def test_simulation_with_the_same_seed_gives_the_same_rows_and_with_another_seed_others():
    first, repeated = Simulation(parse_scenario(SMALL_SCENARIO, "x")), Simulation(parse_scenario(SMALL_SCENARIO, "x"))
    assert first.run() == repeated.run() and first.rows == repeated.rows
    other = Simulation(parse_scenario(SMALL_SCENARIO + "seed: 5\n", "x"))
    other.run()
    assert other.rows != first.rows


def test_results_do_not_depend_on_the_workers_and_a_process_that_dies_costs_only_its_own_run():
    scenarios = experiments.with_consecutive_seeds(parse_scenario(SMALL_SCENARIO, "x"), 3)
    sequential, parallel = experiments.run_all(scenarios, 1), experiments.run_all(scenarios, 3)
    assert sequential == parallel and [result["seed"] for result in sequential] == [1, 2, 3]

    def die_for_seed_2(scenario, connection):
        if scenario.seed == 2:
            os._exit(7)
        experiments.run_in_child(scenario, connection)

    results = experiments.run_all(scenarios, 2, run=die_for_seed_2)
    assert (results[0], results[2]) == (sequential[0], sequential[2]) and "7" in results[1]["failed"]


SCENARIO_WITH_EXCLUSIVE_REQUESTS = SMALL_SCENARIO + "exclusive: 0.2\n"
# A planted fault, the settings of a scenario in which it has an effect, and the number of the rule that it breaks.
PLANTED_FAULTS = [
    ("answers", "", "1"),
    ("repeats", "part_s: 0.3", "2"),
    ("drains", 'failures: [{kind: "drain", at_s: 4, target: 0}]', "3"),
    (
        "cold",
        "visits_per_s: 500\nfall_multiple: 1\npromised_s: 3\npatience_s: 4\nfall_s: 1\ncold_from: 0.05\n"
        'cold_s: 30\nfailures: [{kind: "mass_restart", at_s: 4, share: 1}]',
        "4",
    ),
    ("purges", 'failures: [{kind: "purge", at_s: 6, share: 1}]', "5"),
]


@pytest.mark.parametrize("plant, settings, rule", PLANTED_FAULTS)
def test_rule_check_finds_its_planted_fault_and_no_violation_without_it(plant, settings, rule):
    base = "".join(
        line + "\n"
        for line in SCENARIO_WITH_EXCLUSIVE_REQUESTS.splitlines()
        if not settings or line.split(":")[0] not in [part.split(":")[0] for part in settings.splitlines()]
    )
    correct = Simulation(parse_scenario(base + settings, "x")).run()
    assert correct["rules_broken"] == {} and correct["visits"] > 300
    faulty = Simulation(parse_scenario(f'{base}{settings}\nplant: "{plant}"\n', "x")).run()
    assert set(faulty["rules_broken"]) == {rule} and faulty["first_breaks"]


def test_bundled_calm_scenario_breaks_no_rule_and_has_more_hits_than_with_random_routing():
    assert set(bundled_scenarios()) == {"calm", "rough", "zone_loss"}
    scenario = parse_scenario(bundled_scenarios()["calm"], "calm")
    default_results = experiments.run_all(experiments.with_consecutive_seeds(scenario, 3), 3)
    random_results = experiments.run_all(
        experiments.with_consecutive_seeds(msgspec.structs.replace(scenario, policy="random"), 3), 3
    )
    comparison = experiments.compare_results(default_results, random_results)
    assert comparison["hit_share"]["verdict"] == "worse" and comparison["rules_broken_first"] == 0


@pytest.mark.parametrize(
    "text, message",
    [
        ('name: "x"\nfailures: [{kind: "fire", at_s: 1}]', "failures[0].kind: is none of 'crash'"),
        ('name: "x"\nfailures: [{kind: "hang"}]', "failures[0].at_s: is missing"),
        ('name: "x"\nfailures: [{kind: "hang", at_s: 99}]', "failures[0].at_s: lies past"),
        ('name: "x"\ncache: 3', "x:2: cache: is no setting"),
        ("seed: 3", "name: is missing"),
        ('name: "x"\nfailures: [{kind: "hang", at_s: 9, target: 8}]', "failures[0].target: is none of the 8"),
    ],
)
def test_scenario_with_an_invalid_setting_is_refused_with_the_name_of_the_setting(text, message):
    with pytest.raises(OptionsError) as error:
        parse_scenario(text, "x")
    assert message in str(error.value)


@pytest.mark.parametrize(
    "first, second, larger_is_better, verdict",
    [
        ([1, 2, 3, 4], [2, 3, 4.1, 5], True, "better"),
        ([1, 2, 3, 4], [2, 3, 4.1, 5], False, "worse"),
        ([1, 2, 3, 4], [2, 1, 4, 3], True, "cannot tell"),
        ([1, 2], [1, 2], True, "no difference"),
        ([1], [2], True, "cannot tell"),
    ],
)
def test_verdict_of_a_comparison_is_based_on_the_differences_of_the_pairs(first, second, larger_is_better, verdict):
    assert compare_pairs(first, second, larger_is_better, 0.01)["verdict"] == verdict


def test_confidence_interval_of_95_percent_contains_the_true_mean_in_93_to_97_percent_of_the_samples():
    chance, hits = random.Random(1), 0
    for _ in range(2000):
        mean, half_width = confidence_interval([chance.gauss(5, 2) for _ in range(6)])
        hits += abs(mean - 5) <= half_width
    assert 0.93 < hits / 2000 < 0.97


def test_shrunk_scenario_has_only_the_failure_that_matters_and_its_text_gives_the_same_scenario():
    scenario = experiments.with_random_failures(parse_scenario(SMALL_SCENARIO, "x"), 12)
    needed = scenario.failures[0]
    shrunk = experiments.shrink(
        scenario, lambda result: result["seen"], lambda candidate: {"seen": needed in candidate.failures}
    )
    assert shrunk.failures == [needed] and shrunk.burst == 1.0
    assert parse_scenario(experiments.format_scenario(shrunk), "again") == shrunk
    assert parse_scenario(experiments.format_scenario(scenario), "again") == scenario


def test_lab_commands_run_show_and_list_write_records_and_reports_and_refuse_unusable_input(tmp_path):
    def run_command(*arguments):
        result = CliRunner().invoke(main, ["lab", *map(str, arguments)])
        return result.exit_code, result.output

    path = tmp_path / "s.cue"
    path.write_text(SMALL_SCENARIO)
    code, out = run_command("run", path, "--records", tmp_path / "r.parquet", "--report", tmp_path / "r.html", "--json")
    answer = msgspec.json.decode(out)
    assert code == 0 and answer["rules_broken"] == {}
    page = (tmp_path / "r.html").read_text()
    assert page.count("data:image/png;base64,") == 2 and 'src="http' not in page and "No rule was broken" in page
    assert run_command("show", tmp_path / "r.parquet")[0] == 0
    path.write_text(SMALL_SCENARIO + 'plant: "answers"\n')
    assert run_command("run", path)[0] == 1
    assert run_command("run", "nowhere")[0] == 2 and run_command("show", path)[0] == 2
    assert "rough" in run_command("list")[1]
