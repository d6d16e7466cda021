"""The roles with the change log, which is to carry purges and settings: its rows in place of the flat ones."""

from __future__ import annotations

from bench.scale import design
from bench.scale.model import Costs, Mechanism, RoleModel, Term
from bench.scale.roles import ROUTER_CONTROL, SETTINGS, WATCH

RELAYS = 6
FOLLOWERS = design.ROUTERS / RELAYS
RETAINED = 16_384  # entries, as settings.RelaySettings

FOLLOWING = Mechanism(
    "change log: purges and settings",
    "the last number, 1,024 digests, 4,096 early entries at most",
    "changelog/follower over UDP",
    "uninformed after 3.1 s, and copies' ages are limited by their grace",
    Costs(
        messages=(Term("router.change_log.messages", design.PURGES),),
        bytes=(Term("router.change_log.bytes", design.PURGES),),
        cpu=(Term("router.change_log.cpu", design.PURGES),),
    ),
)
RELAYING = Mechanism(
    "change log, handed down",
    f"{RETAINED:,} entries, a subscriber each for {FOLLOWERS:.0f} routers and as many that watch",
    "changelog/relay over UDP",
    "goes on with what it has; its routers see that it is behind, and take another after 0.7 s",
    Costs(
        messages=(Term("relay.change_log.messages", FOLLOWERS),),
        bytes=(Term("relay.change_log.bytes", FOLLOWERS),),
        cpu=(Term("relay.change_log.cpu", FOLLOWERS),),
        memory=(Term("relay.change_log.memory", RETAINED),),
    ),
    {
        "zone_lost": Costs(
            messages=(Term("relay.change_log.messages", FOLLOWERS * RELAYS / (RELAYS - 1)),),
            bytes=(Term("relay.change_log.bytes", FOLLOWERS * RELAYS / (RELAYS - 1)),),
            cpu=(Term("relay.change_log.cpu", FOLLOWERS * RELAYS / (RELAYS - 1)),),
            memory=(Term("relay.change_log.memory", RETAINED),),
        )
    },
)
PLANNED = (
    RoleModel(
        "Router, for control, with the change log in place of watch and settings files",
        (FOLLOWING, *(one for one in ROUTER_CONTROL.mechanisms if one not in (WATCH, SETTINGS))),
        ROUTER_CONTROL.allowed,
    ),
    RoleModel(f"Relay, one of {RELAYS} (a zone lost: one of them with it)", (RELAYING,)),
)
NEEDED = "relay.change_log.cpu"  # without which there is nothing to tell
