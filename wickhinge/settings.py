"""The settings, turned into the parts of the decision module. Unknown keys are disregarded."""

from __future__ import annotations

from typing import Any

from wickhinge.fields import (
    Malformed,
    flag,
    integer,
    listing,
    number,
    record,
    records,
    seconds,
    text,
    word,
)
from wickhinge.interface import Capabilities, Environment, Idempotency, RequestClass
from wickhinge.routing.endpoints import Endpoints, Topology
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges, ToLocalTime, same_clock
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.router import Router, RouterSettings
from wickhinge.routing.slow_start import SlowStart

EFFECTS = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENCY_KEY,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}


def spread(family: dict[str, Any], field: str, count: int) -> list[Any]:
    values = listing("conf.familyInfo", family, field)
    if len(values) != count:
        raise Malformed(f"conf.familyInfo: field {field} does not hold one value for each")
    return values


def names(conf: dict[str, Any], field: str) -> list[str]:
    values = listing("conf", conf, field)
    if not all(type(value) is str for value in values):
        raise Malformed(f"conf: field {field} is not a list of texts")
    return values


def request_classes(conf: dict[str, Any]) -> dict[str, RequestClass]:
    family, classes = record("conf", conf, "familyInfo"), records("conf", conf, "classes")
    count = len(classes)
    fresh, grace = spread(family, "maxAgeMs", count), spread(family, "staleForMs", count)
    stale, parts = spread(family, "worthWhenOld", count), spread(family, "multiPart", count)
    passes = spread(family, "passOn", count)
    result = {}
    for place, entry in enumerate(classes):
        where = "conf.classes"
        name = text(where, entry, "name")
        effect = EFFECTS[word(where, entry, "effect", EFFECTS)]
        result[name] = RequestClass(
            name=name,
            latency_objective=seconds(where, entry, "onTimeMs"),
            objective_stretch=number(where, entry, "aimStretch", 0.0),
            timeout=seconds(where, entry, "hardLimitMs"),
            priority_weight=number(where, entry, "importance"),
            late_value=number(where, entry, "lateValue", 0.0),
            idempotency=effect,
            deduplication_group=word(where, entry, "group", ("all", "zone", "cell"))
            if effect is Idempotency.IDEMPOTENCY_KEY
            else "all",
            deduplication_window=seconds(where, entry, "windowMs") if effect is Idempotency.IDEMPOTENCY_KEY else 0.0,
            freshness_lifetime=fresh[place] / 1000.0,
            stale_grace=grace[place] / 1000.0,
            stale_value=stale[place],
            multipart=bool(parts[place]),
            pass_through=bool(passes[place]),
        )
    return result


def build(
    conf: dict[str, Any], seed: int, environment: Environment, to_local_time: ToLocalTime = same_clock
) -> tuple[Router, dict[str, RequestClass]]:
    """Return the router and the request classes, by name.

    Args:
        conf: the settings as decoded.
        seed: of the router's random numbers.
        environment: what the router calls out on.
        to_local_time: others' times by our clock.

    Raises:
        Malformed: a field is missing or not of its type; the text names it.
    """
    family, rules = record("conf", conf, "familyInfo"), record("conf", conf, "rules")
    limits, stats = record("conf", conf, "limits"), record("conf", conf, "stats")
    shapes, zones = listing("conf", conf, "shapes"), listing("conf", conf, "zones")
    info = "conf.familyInfo"

    def shape(field: str) -> str | None:
        place = integer(info, family, field)
        if place >= len(shapes):
            raise Malformed(f"{info}: field {field} names no machine kind")
        return shapes[place] if place >= 0 else None

    zone, routers = text("conf", conf, "locality"), spread(family, "zoneBalancers", len(zones))
    if zone not in zones:
        raise Malformed("conf: field locality names no zone")
    edge = SlowStart(
        number("conf.rules", rules, "fallMultiple"),
        seconds("conf.rules", rules, "fallMs"),
        number("conf.rules", rules, "coldFrom"),
        seconds("conf.rules", rules, "coldMs"),
    )
    upper = SlowStart(
        number(info, family, "upperFallMultiple"),
        seconds("conf.rules", rules, "fallMs"),
        number(info, family, "parentFloor"),
        seconds(info, family, "parentWarmsInMs"),
    )
    topology = Topology(
        zone=zone,
        routers=integer("conf.familyInfo.zoneBalancers", dict(zip(zones, routers, strict=True)), zone),
        parent_kind=shape("shieldKind"),
        origin_kind=shape("sourceKind"),
        has_weights=text("conf", conf, "weights") != "off",
    )
    endpoints = Endpoints(RandomSource(seed), topology, edge, upper, to_local_time)
    max_retry_after = (
        seconds("conf.limits", limits, "maxRetryAfterMs") if flag("conf.limits", limits, "retryAfter") else 0.0
    )
    capabilities = Capabilities(
        collapse_fills=flag(info, family, "joins"),
        direct_to_source=flag(info, family, "passThroughOk"),
        hedging=flag("conf.limits", limits, "mayDuplicate"),
        cancellation=flag("conf.limits", limits, "cancel"),
        health_checks=flag("conf.limits", limits, "probes"),
        load_reports=text("conf.stats", stats, "how") == "on_probe",
        polls_endpoints=text("conf", conf, "discovery") == "ask",
    )
    router_settings = RouterSettings(
        capabilities=capabilities,
        flow=number(info, family, "oneFlowKbPerS"),
        max_attempts=integer("conf.limits", limits, "mostTries"),
        max_list_age=seconds("conf.rules", rules, "mustAskInMs", 0.0),
        max_retry_after=max_retry_after,
    )
    purges = Purges(seconds(info, family, "goneEverywhereMs"), to_local_time)
    router = Router(environment, endpoints, ObjectCounts(endpoints.routers), purges, router_settings)
    return router, request_classes(conf)
