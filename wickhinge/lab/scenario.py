"""A scenario file as records; faults name file, line and key."""

from __future__ import annotations

from importlib import resources

import msgspec

from wickhinge.options.load import Fault, text_of, unify


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


def check(source: str, name: str) -> Scenario:
    """Raises Fault."""
    made = msgspec.convert(unify("wickhinge.lab", "scenario.cue", source, name), Scenario)
    if made.zones > min(made.caches, made.routers):
        raise Fault(f"{name}: zones: are more than caches or routers")
    for place, failure in enumerate(made.failures):
        if failure.at_s >= made.seconds:
            raise Fault(f"{name}: failures[{place}].at_s: lies past the scenario's {made.seconds} s")
        if failure.target >= made.caches:
            raise Fault(f"{name}: failures[{place}].target: is none of the {made.caches} caches")
    return made


def load(path: str) -> Scenario:
    return check(text_of(path), path)


def bundled() -> dict[str, str]:
    """Names of the scenarios that come along, and their texts."""
    folder = resources.files("wickhinge.lab") / "scenarios"
    return {
        one.name.removesuffix(".cue"): one.read_text()
        for one in sorted(folder.iterdir(), key=lambda one: one.name)
        if one.name.endswith(".cue")
    }
