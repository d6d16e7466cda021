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
from wickhinge.routing.endpoints import Endpoints
from wickhinge.routing.object_counts import ObjectCounts
from wickhinge.routing.purges import Purges
from wickhinge.routing.random_source import RandomSource
from wickhinge.routing.router import Router
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


def build(conf: dict[str, Any], seed: int, outside: Environment) -> tuple[Router, dict[str, RequestClass]]:
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
    chance = RandomSource(seed)
    fleet = Endpoints(
        chance,
        zone,
        integer("conf.familyInfo.zoneBalancers", dict(zip(zones, routers, strict=True)), zone),
        shape("shieldKind"),
        shape("sourceKind"),
        text("conf", conf, "weights") != "off",
        edge,
        upper,
    )
    wait = seconds("conf.limits", limits, "maxRetryAfterMs") if flag("conf.limits", limits, "retryAfter") else 0.0
    permitted = Capabilities(
        collapse_fills=flag(info, family, "joins"),
        direct_to_source=flag(info, family, "passThroughOk"),
        hedging=flag("conf.limits", limits, "mayDuplicate"),
        cancellation=flag("conf.limits", limits, "cancel"),
        health_checks=flag("conf.limits", limits, "probes"),
        load_reports=text("conf.stats", stats, "how") == "on_probe",
        polls_endpoints=text("conf", conf, "discovery") == "ask",
    )
    router = Router(
        outside,
        chance,
        fleet,
        ObjectCounts(fleet.routers),
        Purges(seconds(info, family, "goneEverywhereMs")),
        permitted,
        flow=number(info, family, "oneFlowKbPerS"),
        most_forwards=integer("conf.limits", limits, "mostTries"),
        ask_within=seconds("conf.rules", rules, "mustAskInMs", 0.0),
        longest_wait=wait,
    )
    return router, request_classes(conf)
