"""The settings, turned into the parts of the decision module. Unknown keys are disregarded."""

from __future__ import annotations

from typing import Any

from wickhinge.decide import Chance, Cold, Fleet, Purges, Router, Shelf
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
from wickhinge.interface import Effect, Outside, Permitted, Tariff

EFFECTS = {"pure": Effect.RERUNNABLE, "token": Effect.TICKETED, "side_effect": Effect.EXCLUSIVE}


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


def tariffs(conf: dict[str, Any]) -> dict[str, Tariff]:
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
        result[name] = Tariff(
            name=name,
            promised=seconds(where, entry, "onTimeMs"),
            stretch=number(where, entry, "aimStretch", 0.0),
            patience=seconds(where, entry, "hardLimitMs"),
            revenue=number(where, entry, "importance"),
            late_share=number(where, entry, "lateValue", 0.0),
            effect=effect,
            group=word(where, entry, "group", ("all", "zone", "cell")) if effect is Effect.TICKETED else "all",
            window=seconds(where, entry, "windowMs") if effect is Effect.TICKETED else 0.0,
            fresh=fresh[place] / 1000.0,
            grace=grace[place] / 1000.0,
            stale_share=stale[place],
            parts=bool(parts[place]),
            passes_on=bool(passes[place]),
        )
    return result


def build(conf: dict[str, Any], seed: int, outside: Outside) -> tuple[Router, dict[str, Tariff]]:
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
    edge = Cold(
        number("conf.rules", rules, "fallMultiple"),
        seconds("conf.rules", rules, "fallMs"),
        number("conf.rules", rules, "coldFrom"),
        seconds("conf.rules", rules, "coldMs"),
    )
    upper = Cold(
        number(info, family, "upperFallMultiple"),
        seconds("conf.rules", rules, "fallMs"),
        number(info, family, "parentFloor"),
        seconds(info, family, "parentWarmsInMs"),
    )
    chance = Chance(seed)
    fleet = Fleet(
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
    permitted = Permitted(
        joins=flag(info, family, "joins"),
        direct=flag(info, family, "passThroughOk"),
        second_copies=flag("conf.limits", limits, "mayDuplicate"),
        cancel=flag("conf.limits", limits, "cancel"),
        probes=flag("conf.limits", limits, "probes"),
        loads=text("conf.stats", stats, "how") == "on_probe",
        follows=text("conf", conf, "discovery") == "ask",
    )
    router = Router(
        outside,
        chance,
        fleet,
        Shelf(fleet.routers),
        Purges(seconds(info, family, "goneEverywhereMs")),
        permitted,
        flow=number(info, family, "oneFlowKbPerS"),
        most_forwards=integer("conf.limits", limits, "mostTries"),
        ask_within=seconds("conf.rules", rules, "mustAskInMs", 0.0),
        longest_wait=wait,
    )
    return router, tariffs(conf)
