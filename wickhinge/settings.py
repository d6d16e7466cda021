"""Checks the settings, and builds a router and its request classes from them. Unknown keys are ignored.

Both fronts use this module. The keys are those of the platform's settings; docs/architecture.md maps them to the terms
of this code.
"""

from __future__ import annotations

from typing import Any

from wickhinge.fields import (
    MalformedError,
    array,
    boolean,
    choice,
    integer,
    mapping,
    mappings,
    number,
    seconds,
    text,
)
from wickhinge.interface import Capabilities, Environment, Idempotency, RequestClass
from wickhinge.routing.endpoints import Endpoints, Topology
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges, ToLocalTime, assume_same_clock
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.slow_start import SlowStart

Fields = dict[str, Any]

IDEMPOTENCY = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENCY_KEY,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}
DEDUPLICATION_GROUPS = ("all", "zone", "cell")
# Paths of the settings' objects, which error messages name.
ROOT, CLASSES, RULES, LIMITS, STATS = "conf", "conf.classes", "conf.rules", "conf.limits", "conf.stats"
FAMILY, ZONE_ROUTERS = "conf.familyInfo", "conf.familyInfo.zoneBalancers"


def string_list(conf: Fields, field: str) -> list[str]:
    """Return a list of strings, such as the names of all zones.

    Raises:
        MalformedError: The field is missing or is not a list of strings; the message names it.
    """
    values = array(ROOT, conf, field)
    if not all(type(value) is str for value in values):
        raise MalformedError(f"conf: field {field} is not a list of strings")
    return values


def request_classes(conf: Fields) -> dict[str, RequestClass]:
    """Return the request classes, by name.

    Raises:
        MalformedError: A field is missing or has another type; the message names it.
    """
    family, entries = mapping(ROOT, conf, "familyInfo"), mappings(ROOT, conf, "classes")
    columns = {field: _column(family, field, len(entries)) for field in _COLUMNS}
    classes = {}
    for index, entry in enumerate(entries):
        request_class = _request_class(entry, {field: values[index] for field, values in columns.items()})
        classes[request_class.name] = request_class
    return classes


# Fields of familyInfo that hold one value for each request class, in the order of the classes.
_COLUMNS = ("maxAgeMs", "staleForMs", "worthWhenOld", "multiPart", "passOn")


def _column(family: Fields, field: str, count: int) -> list[Any]:
    values = array(FAMILY, family, field)
    if len(values) != count:
        raise MalformedError(f"conf.familyInfo: field {field} does not hold one value for each class or zone")
    return values


def _request_class(entry: Fields, family_values: Fields) -> RequestClass:
    name = text(CLASSES, entry, "name")
    idempotency = IDEMPOTENCY[choice(CLASSES, entry, "effect", IDEMPOTENCY)]
    group, window = "all", 0.0
    objective = seconds(CLASSES, entry, "onTimeMs")
    stretch = number(CLASSES, entry, "aimStretch", 0.0)
    timeout = seconds(CLASSES, entry, "hardLimitMs")
    weight = number(CLASSES, entry, "importance")
    late_value = number(CLASSES, entry, "lateValue", 0.0)
    if idempotency is Idempotency.IDEMPOTENCY_KEY:
        group = choice(CLASSES, entry, "group", DEDUPLICATION_GROUPS)
        window = seconds(CLASSES, entry, "windowMs")
    return RequestClass(
        name=name,
        latency_objective=objective,
        objective_stretch=stretch,
        timeout=timeout,
        priority_weight=weight,
        late_value=late_value,
        idempotency=idempotency,
        deduplication_group=group,
        deduplication_window=window,
        freshness_lifetime=seconds(FAMILY, family_values, "maxAgeMs"),
        stale_grace=seconds(FAMILY, family_values, "staleForMs"),
        stale_value=number(FAMILY, family_values, "worthWhenOld"),
        multipart=bool(family_values["multiPart"]),
        pass_through=bool(family_values["passOn"]),
    )


def build_router(
    conf: Fields, seed: int, environment: Environment, to_local_time: ToLocalTime = assume_same_clock
) -> tuple[Router, dict[str, RequestClass]]:
    """Return a new router, and the request classes by name.

    Args:
        conf: The decoded settings.
        seed: Seed of the router's random numbers.
        environment: The operations of the front for the router.
        to_local_time: Converts a remote time to this router's clock.

    Raises:
        MalformedError: A field is missing or has another type; the message names it.
    """
    family, rules = mapping(ROOT, conf, "familyInfo"), mapping(ROOT, conf, "rules")
    limits, stats = mapping(ROOT, conf, "limits"), mapping(ROOT, conf, "stats")
    topology = _topology(conf, family)
    cache_slow_start, parent_slow_start = _cache_slow_start(rules), _parent_slow_start(family, rules)
    endpoints = Endpoints(RandomSource(seed), topology, cache_slow_start, parent_slow_start, to_local_time)
    settings = _router_settings(conf, family, rules, limits, stats)
    purges = Purges(seconds(FAMILY, family, "goneEverywhereMs"), to_local_time)
    router = Router(environment, endpoints, ObjectCounts(endpoints.routers), purges, settings)
    return router, request_classes(conf)


def _topology(conf: Fields, family: Fields) -> Topology:
    kinds, zones = array(ROOT, conf, "shapes"), array(ROOT, conf, "zones")
    zone, routers = text(ROOT, conf, "locality"), _column(family, "zoneBalancers", len(zones))
    if zone not in zones:
        raise MalformedError("conf: field locality is not one of the zones")
    return Topology(
        zone=zone,
        routers=integer(ZONE_ROUTERS, dict(zip(zones, routers, strict=True)), zone),
        parent_kind=_kind(family, "shieldKind", kinds),
        origin_kind=_kind(family, "sourceKind", kinds),
        has_weights=text(ROOT, conf, "weights") != "off",
    )


def _kind(family: Fields, field: str, kinds: list[Any]) -> str | None:
    """Return the kind of servers that a field gives as an index into all kinds; None if the index is negative."""
    index = integer(FAMILY, family, field)
    if index >= len(kinds):
        raise MalformedError(f"{FAMILY}: field {field} is not an index of shapes")
    return kinds[index] if index >= 0 else None


def _cache_slow_start(rules: Fields) -> SlowStart:
    return SlowStart(
        overload_factor=number(RULES, rules, "fallMultiple"),
        window=seconds(RULES, rules, "fallMs"),
        initial_capacity=number(RULES, rules, "coldFrom"),
        duration=seconds(RULES, rules, "coldMs"),
    )


def _parent_slow_start(family: Fields, rules: Fields) -> SlowStart:
    return SlowStart(
        overload_factor=number(FAMILY, family, "upperFallMultiple"),
        window=seconds(RULES, rules, "fallMs"),
        initial_capacity=number(FAMILY, family, "parentFloor"),
        duration=seconds(FAMILY, family, "parentWarmsInMs"),
    )


def _router_settings(conf: Fields, family: Fields, rules: Fields, limits: Fields, stats: Fields) -> RouterSettings:
    has_retry_after = boolean(LIMITS, limits, "retryAfter")
    return RouterSettings(
        capabilities=Capabilities(
            collapse_fills=boolean(FAMILY, family, "joins"),
            direct_to_source=boolean(FAMILY, family, "passThroughOk"),
            hedging=boolean(LIMITS, limits, "mayDuplicate"),
            cancellation=boolean(LIMITS, limits, "cancel"),
            health_checks=boolean(LIMITS, limits, "probes"),
            load_reports=text(STATS, stats, "how") == "on_probe",
            polls_endpoints=text(ROOT, conf, "discovery") == "ask",
        ),
        transfer_kb_per_s=number(FAMILY, family, "oneFlowKbPerS"),
        max_attempts=integer(LIMITS, limits, "mostTries"),
        max_list_age=seconds(RULES, rules, "mustAskInMs", 0.0),
        max_retry_after=seconds(LIMITS, limits, "maxRetryAfterMs") if has_retry_after else 0.0,
    )
