"""The planned design, role by role: the change log carries purges and settings in place of the flat mechanisms."""

from __future__ import annotations

from bench.scale import design
from bench.scale.model import Costs, Mechanism, RoleModel, Term
from bench.scale.roles import ENDPOINT_WATCH, ROUTER_CONTROL, SETTINGS_FILES

RELAYS = 6
ROUTERS_PER_RELAY = design.ROUTERS / RELAYS
# Entries that a relay retains by default, as in wickhinge.changelog.settings.RelaySettings.
RETAINED_ENTRIES = 16_384

CHANGE_LOG_FOLLOWER = Mechanism(
    "change log: purges and settings",
    "the last number, 1,024 digests, 4,096 early entries at most",
    "changelog/follower over UDP",
    "uninformed after 3.1 s, and copies' ages are limited by their grace",
    Costs(
        messages=(Term("router.change_log.messages", design.PURGES_PER_S),),
        bytes=(Term("router.change_log.bytes", design.PURGES_PER_S),),
        cpu=(Term("router.change_log.cpu", design.PURGES_PER_S),),
    ),
)
CHANGE_LOG_RELAY = Mechanism(
    "change log, handed down",
    f"{RETAINED_ENTRIES:,} entries, a subscriber each for {ROUTERS_PER_RELAY:.0f} routers and as many that watch",
    "changelog/relay over UDP",
    "goes on with what it has; its routers see that it is behind, and take another after 0.7 s",
    Costs(
        messages=(Term("relay.change_log.messages", ROUTERS_PER_RELAY),),
        bytes=(Term("relay.change_log.bytes", ROUTERS_PER_RELAY),),
        cpu=(Term("relay.change_log.cpu", ROUTERS_PER_RELAY),),
        memory=(Term("relay.change_log.memory", RETAINED_ENTRIES),),
    ),
    {
        "zone_lost": Costs(
            messages=(Term("relay.change_log.messages", ROUTERS_PER_RELAY * RELAYS / (RELAYS - 1)),),
            bytes=(Term("relay.change_log.bytes", ROUTERS_PER_RELAY * RELAYS / (RELAYS - 1)),),
            cpu=(Term("relay.change_log.cpu", ROUTERS_PER_RELAY * RELAYS / (RELAYS - 1)),),
            memory=(Term("relay.change_log.memory", RETAINED_ENTRIES),),
        )
    },
)
PLANNED_ROLES = (
    RoleModel(
        "Router, for control, with the change log in place of watch and settings files",
        (
            CHANGE_LOG_FOLLOWER,
            *(one for one in ROUTER_CONTROL.mechanisms if one not in (ENDPOINT_WATCH, SETTINGS_FILES)),
        ),
        ROUTER_CONTROL.allowed,
    ),
    RoleModel(f"Relay, one of {RELAYS} (a zone lost: one of them with it)", (CHANGE_LOG_RELAY,)),
)
# The row without which the planned roles cannot be computed; without it their tables are left out.
REQUIRED_ROW = "relay.change_log.cpu"
