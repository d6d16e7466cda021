"""Scenario files as records; errors in them name the file, the line and the key."""

from __future__ import annotations

from importlib import resources

import msgspec

from wickhinge.options.errors import OptionsError
from wickhinge.options.load import read_text, unify_with_schema


class Failure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One injected failure.

    Attributes:
        kind: What fails; `scenario.cue` lists the kinds.
        at_s: Virtual time at which the failure starts, in seconds.
        for_s: Duration in seconds.
        target: Index of the cache that fails, from 0.
        share: Share of the caches that fail, or of the objects that are purged.
        factor: By how much a server becomes slower.
    """

    kind: str
    at_s: float
    for_s: float
    target: int
    share: float
    factor: float


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet, its load and its failures; times are virtual times in seconds.

    Attributes:
        name: Name of the scenario.
        seed: Seed of all random numbers.
        seconds: Duration of the simulation.
        warm_s: Time at the start whose requests are not counted in the results.
        zones: Number of zones.
        routers: Number of routers in all zones.
        caches: Number of edge caches in all zones.
        parents: Number of parents.
        weight: Capacity of a cache, as a number of transfers at full speed.
        parent_weight: Capacity of a parent, in the same unit.
        origin_weight: Capacity of the origin, in the same unit.
        keep: Number of parts that a cache can store.
        parent_keep: Number of parts that a parent can store.
        restart_s: Seconds from a crash until the new process runs.
        cold_from: Share of its capacity that a server has right after its start.
        cold_s: Duration of the slow start, after which a server has its full capacity.
        fall_multiple: A server in its slow start crashes if it gets more than this multiple of the work it can do.
        fall_s: Time over which that work is summed.
        hop_s: Latency of a message between two processes in one direction.
        list_s: Delay after which routers receive a change of the endpoint list.
        visits_per_s: Average number of requests per second in all.
        objects: Number of objects.
        zipf: Exponent of the Zipf distribution of the objects' popularity.
        parts: Maximum number of parts that a client requests of an object.
        part_s: Seconds that the transfer of a part takes at full speed.
        exclusive: Share of the requests that are not idempotent.
        fresh_s: Freshness lifetime of a copy; 0 if a copy is fresh until it is purged.
        promised_s: Latency objective.
        patience_s: Seconds until a client gives up.
        again: Share of the rejected requests that are sent again.
        burst: Factor of the load in the middle third of the simulation.
        policy: Routing policy; `scenario.cue` lists the policies.
        plant: Name of a fault that is planted in the router for a rule check to find; empty for none.
        failures: Injected failures.
    """

    name: str
    seed: int
    seconds: float
    warm_s: float
    zones: int
    routers: int
    caches: int
    parents: int
    weight: float
    parent_weight: float
    origin_weight: float
    keep: int
    parent_keep: int
    restart_s: float
    cold_from: float
    cold_s: float
    fall_multiple: float
    fall_s: float
    hop_s: float
    list_s: float
    visits_per_s: float
    objects: int
    zipf: float
    parts: int
    part_s: float
    exclusive: float
    fresh_s: float
    promised_s: float
    patience_s: float
    again: float
    burst: float
    policy: str
    plant: str
    failures: list[Failure]


def parse_scenario(source: str, name: str) -> Scenario:
    """Return the scenario in the text of a scenario file; `name` is the file's name in errors.

    Raises:
        OptionsError: The text is not a valid scenario.
    """
    scenario = msgspec.convert(unify_with_schema("wickhinge.lab", "scenario.cue", source, name), Scenario)
    if scenario.zones > min(scenario.caches, scenario.routers):
        raise OptionsError(name, "are more than caches or routers", key="zones")
    for index, failure in enumerate(scenario.failures):
        if failure.at_s >= scenario.seconds:
            raise OptionsError(name, f"lies past the scenario's {scenario.seconds} s", key=f"failures[{index}].at_s")
        if failure.target >= scenario.caches:
            raise OptionsError(name, f"is none of the {scenario.caches} caches", key=f"failures[{index}].target")
    return scenario


def load_scenario(path: str) -> Scenario:
    """Return the scenario in a file.

    Raises:
        OptionsError: The file cannot be read, or is not a valid scenario.
    """
    return parse_scenario(read_text(path), path)


def bundled_scenarios() -> dict[str, str]:
    """Return the texts of the scenarios that are part of the package, by name."""
    folder = resources.files("wickhinge.lab") / "scenarios"
    return {
        file.name.removesuffix(".cue"): file.read_text()
        for file in sorted(folder.iterdir(), key=lambda file: file.name)
        if file.name.endswith(".cue")
    }
