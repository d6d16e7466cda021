"""Interfaces of the membership controller: the methods of the router that it calls, and its settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import EndpointState, Statement


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """Description of an endpoint for the routing fleet."""

    statement: Statement
    state: EndpointState
    is_trusted: bool  # Whether requests with effects may go to the endpoint.


class MembershipPort(Protocol):
    """Methods of the router that the controller calls, always within one of its own methods."""

    def apply_listings(self, listings: list[EndpointListing]) -> None:
        """Add endpoints to the routing fleet or update them; the other endpoints of the fleet stay."""

    def check_health(self, statement: Statement) -> None:
        """Start a health check, whose result is passed to `MembershipController.record_health_check`."""

    def apply_purge(self, purge: PurgeRecord) -> None:
        """Carry out a purge from the stored list or from another router's list."""

    def log_event(self, event: str, /, **fields: object) -> None:
        """Write an event to the router's log."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Settings of the controller.

    Attributes:
        deployment: Fingerprint of the deployment's settings (see stored_list.deployment_fingerprint).
        router_count: Number of routers that may start at the same moment.
        upper_tier_kinds: Kinds of parents and origins.
        fallback_delay_s: Seconds after the start for which the live list is awaited before another list is used.
        hint_age_s: Age in seconds past which a list only tells which addresses to check.
        max_uninformed_copy_age_s: Age limit in seconds of all copies while the discovery service is silent; 0 for no
            limit.
        quiet_s: Seconds without a complete update after which the discovery service counts as silent.
        purge_completion_s: Seconds after which all servers have carried out a purge.
    """

    deployment: str
    router_count: int
    upper_tier_kinds: tuple[str | None, ...]
    fallback_delay_s: float
    hint_age_s: float
    max_uninformed_copy_age_s: float
    quiet_s: float
    purge_completion_s: float
