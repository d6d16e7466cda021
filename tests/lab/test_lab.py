"""The laboratory: its queue and stations against theory, its judges against planted faults, its experiments."""

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
from wickhinge.lab.stats import interval, paired
from wickhinge.options import OptionsError

SMALL = 'name: "small"\nseconds: 12\nwarm_s: 2\nrouters: 2\ncaches: 4\nobjects: 300\nvisits_per_s: 60\n'


def test_events_come_in_the_order_of_their_time_and_making():
    chance, wheel, seen, heap, wanted = random.Random(2), EventQueue(), [], [], []
    for serial in range(3000):
        when = round(chance.choice([chance.random(), chance.random() * 50, 0.5]), 4)
        wheel.call_at(when, seen.append, serial)
        heappush(heap, (when, serial))
    wheel.call_at(0.25, lambda: [wheel.call_after(delay, seen.append, -1) for delay in (0.0, 0.0001, 3.0)])
    heappush(heap, (0.25, -1)), heappush(heap, (0.2501, -1)), heappush(heap, (3.25, -1))
    while heap:
        wanted.append(heappop(heap)[1])
    wheel.run(20.0)
    assert wheel.now == 20.0 and len(wheel) > 0
    wheel.run(60.0)
    assert [one for one in seen if one >= 0] == [one for one in wanted if one >= 0]
    assert len(wheel) == 0 and wheel.processed_count == 3004


def waited(kind, load, servers=1, seed=1, count=60_000):
    """Mean wait of a station for exponential arrivals, work of mean 1."""
    wheel, chance, waits = EventQueue(), random.Random(seed), []
    station = ServerQueue(wheel, servers)

    def arrive(left):
        work = chance.expovariate(1.0) if kind == "M" else 1.0
        came = wheel.now
        station.ask(work, lambda: waits.append(wheel.now - came - work))
        if left:
            wheel.call_after(chance.expovariate(load * servers), arrive, left - 1)

    arrive(count)
    wheel.run(1e9)
    return sum(waits) / len(waits)


@pytest.mark.parametrize(
    "kind, load, servers, mean",
    [
        ("M", 0.5, 1, 0.5 / 0.5),
        ("M", 0.8, 1, 0.8 / 0.2),
        ("D", 0.5, 1, 0.5 / (2 * 0.5)),
        ("D", 0.8, 1, 0.8 / (2 * 0.2)),
        ("M", 0.8, 2, 1.778),
    ],
)  # Pollaczek and Khinchine; Erlang's C for two servers
def test_waits_are_those_of_theory(kind, load, servers, mean):
    assert waited(kind, load, servers) == pytest.approx(mean, rel=0.1)


def test_a_single_link_shared_is_shared_equally_and_by_theory():
    wheel, ends = EventQueue(), []
    link = SharedCapacity(wheel, 1.0)
    for work in (1.0, 2.0, 3.0):
        link.ask(work, lambda work=work: ends.append((work, wheel.now)))
    wheel.call_at(1.5, link.ask, 1.0, lambda: ends.append((0, wheel.now)))
    wheel.run(100.0)
    # By hand: at 1.5 each has had 0.5; four share until 3.5, the first and the late one go on, and so forth.
    assert ends == [
        (1.0, pytest.approx(3.5)),
        (0, pytest.approx(5.0)),
        (2.0, pytest.approx(6.0)),
        (3.0, pytest.approx(7.0)),
    ]
    wheel, chance, took = EventQueue(), random.Random(3), []
    link = SharedCapacity(wheel, 1.0)

    def arrive(left):
        came = wheel.now
        link.ask(chance.expovariate(1.0), lambda: took.append(wheel.now - came))
        if left:
            wheel.call_after(chance.expovariate(0.7), arrive, left - 1)

    arrive(40_000)
    wheel.run(1e9)
    assert sum(took) / len(took) == pytest.approx(1 / (1 - 0.7), rel=0.1)  # M/M/1, processor sharing


def test_a_transfer_that_is_given_up_leaves_its_share_to_the_others():
    wheel, ends = EventQueue(), []
    link = SharedCapacity(wheel, 1.0)
    first = link.ask(1.0, ends.append, "a")
    link.ask(1.0, lambda: ends.append(wheel.now))
    wheel.call_at(1.0, link.give_up, first)
    wheel.run(10.0)
    assert ends == [1.5] and len(link) == 0


def test_the_same_seed_gives_the_same_rows_and_another_does_not():
    first, again = Simulation(parse_scenario(SMALL, "x")), Simulation(parse_scenario(SMALL, "x"))
    assert first.run() == again.run() and first.rows == again.rows
    other = Simulation(parse_scenario(SMALL + "seed: 5\n", "x"))
    other.run()
    assert other.rows != first.rows


def test_any_number_of_workers_gives_the_same_and_one_that_dies_costs_only_its_own():
    scenarios = experiments.with_consecutive_seeds(parse_scenario(SMALL, "x"), 3)
    alone, together = experiments.run_all(scenarios, 1), experiments.run_all(scenarios, 3)
    assert alone == together and [one["seed"] for one in alone] == [1, 2, 3]

    def dies(scenario, end):
        if scenario.seed == 2:
            os._exit(7)
        experiments.run_in_child(scenario, end)

    partly = experiments.run_all(scenarios, 2, run=dies)
    assert (partly[0], partly[2]) == (alone[0], alone[2]) and "7" in partly[1]["failed"]


ROUGH = SMALL + "exclusive: 0.2\n"
PLANTS = [
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


@pytest.mark.parametrize("plant, more, rule", PLANTS)
def test_each_judge_cries_at_its_planted_fault_and_at_nothing_else(plant, more, rule):
    base = "".join(
        line + "\n"
        for line in ROUGH.splitlines()
        if not more or line.split(":")[0] not in [part.split(":")[0] for part in more.splitlines()]
    )
    well = Simulation(parse_scenario(base + more, "x")).run()
    assert well["rules_broken"] == {} and well["visits"] > 300
    ill = Simulation(parse_scenario(f'{base}{more}\nplant: "{plant}"\n', "x")).run()
    assert set(ill["rules_broken"]) == {rule} and ill["first_breaks"]


def test_the_bundled_scenarios_keep_the_rules_and_the_mechanism_beats_chance():
    assert set(bundled_scenarios()) == {"calm", "rough", "zone_loss"}
    made = parse_scenario(bundled_scenarios()["calm"], "calm")
    ours = experiments.run_all(experiments.with_consecutive_seeds(made, 3), 3)
    chance = experiments.run_all(
        experiments.with_consecutive_seeds(msgspec.structs.replace(made, policy="random"), 3), 3
    )
    told = experiments.compare_results(ours, chance)
    assert told["hit_share"]["verdict"] == "worse" and told["rules_broken_first"] == 0


@pytest.mark.parametrize(
    "text, told",
    [
        ('name: "x"\nfailures: [{kind: "fire", at_s: 1}]', "failures[0].kind: is none of 'crash'"),
        ('name: "x"\nfailures: [{kind: "hang"}]', "failures[0].at_s: is missing"),
        ('name: "x"\nfailures: [{kind: "hang", at_s: 99}]', "failures[0].at_s: lies past"),
        ('name: "x"\ncache: 3', "x:2: cache: is no setting"),
        ("seed: 3", "name: is missing"),
        ('name: "x"\nfailures: [{kind: "hang", at_s: 9, target: 8}]', "failures[0].target: is none of the 8"),
    ],
)
def test_a_scenario_with_a_wrong_key_is_refused_by_name(text, told):
    with pytest.raises(OptionsError) as caught:
        parse_scenario(text, "x")
    assert told in str(caught.value)


@pytest.mark.parametrize(
    "first, second, larger, verdict",
    [
        ([1, 2, 3, 4], [2, 3, 4.1, 5], True, "better"),
        ([1, 2, 3, 4], [2, 3, 4.1, 5], False, "worse"),
        ([1, 2, 3, 4], [2, 1, 4, 3], True, "cannot tell"),
        ([1, 2], [1, 2], True, "no difference"),
        ([1], [2], True, "cannot tell"),
    ],
)
def test_verdicts_are_by_pairs(first, second, larger, verdict):
    assert paired(first, second, larger, 0.01)["verdict"] == verdict


def test_intervals_hold_the_truth_about_as_often_as_they_say():
    chance, inside = random.Random(1), 0
    for _ in range(2000):
        mean, half = interval([chance.gauss(5, 2) for _ in range(6)])
        inside += abs(mean - 5) <= half
    assert 0.93 < inside / 2000 < 0.97


def test_what_a_hunt_finds_is_made_small_and_can_be_played_again():
    made = experiments.with_random_failures(parse_scenario(SMALL, "x"), 12)
    needed = made.failures[0]
    small = experiments.shrink(made, lambda result: result["seen"], lambda one: {"seen": needed in one.failures})
    assert small.failures == [needed] and small.burst == 1.0
    assert parse_scenario(experiments.format_scenario(small), "again") == small
    assert parse_scenario(experiments.format_scenario(made), "again") == made


def test_commands_play_record_report_and_refuse(tmp_path):
    def command(*words):
        result = CliRunner().invoke(main, ["lab", *map(str, words)])
        return result.exit_code, result.output

    path = tmp_path / "s.cue"
    path.write_text(SMALL)
    code, out = command("run", path, "--records", tmp_path / "r.parquet", "--report", tmp_path / "r.html", "--json")
    told = msgspec.json.decode(out)
    assert code == 0 and told["rules_broken"] == {}
    page = (tmp_path / "r.html").read_text()
    assert page.count("data:image/png;base64,") == 2 and 'src="http' not in page and "No rule was broken" in page
    assert command("show", tmp_path / "r.parquet")[0] == 0
    path.write_text(SMALL + 'plant: "answers"\n')
    assert command("run", path)[0] == 1
    assert command("run", "nowhere")[0] == 2 and command("show", path)[0] == 2
    assert "rough" in command("list")[1]
