"""A scenario file as records; faults name file, line and key."""

from __future__ import annotations

from importlib import resources

import msgspec

from wickhinge.options.errors import OptionsError
from wickhinge.options.load import read_text, unify_with_schema


class Failure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: str
    at_s: float
    for_s: float
    target: int
    share: float
    factor: float


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    seed: int
    seconds: float
    warm_s: float  # not counted in the figures
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
    part_s: float  # a part's own sending time
    exclusive: float
    fresh_s: float
    promised_s: float
    patience_s: float
    again: float
    burst: float  # times the usual load in the middle third
    policy: str
    plant: str
    failures: list[Failure]


def parse_scenario(source: str, name: str) -> Scenario:
    """Raises OptionsError."""
    made = msgspec.convert(unify_with_schema("wickhinge.lab", "scenario.cue", source, name), Scenario)
    if made.zones > min(made.caches, made.routers):
        raise OptionsError(name, "are more than caches or routers", key="zones")
    for place, failure in enumerate(made.failures):
        if failure.at_s >= made.seconds:
            raise OptionsError(name, f"lies past the scenario's {made.seconds} s", key=f"failures[{place}].at_s")
        if failure.target >= made.caches:
            raise OptionsError(name, f"is none of the {made.caches} caches", key=f"failures[{place}].target")
    return made


def load_scenario(path: str) -> Scenario:
    return parse_scenario(read_text(path), path)


def bundled_scenarios() -> dict[str, str]:
    """Names of the scenarios that come along, and their texts."""
    folder = resources.files("wickhinge.lab") / "scenarios"
    return {
        one.name.removesuffix(".cue"): one.read_text()
        for one in sorted(folder.iterdir(), key=lambda one: one.name)
        if one.name.endswith(".cue")
    }
