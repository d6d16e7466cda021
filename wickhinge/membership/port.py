"""What the controller is given: the router's side that it calls, and its settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import EndpointState, Statement


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint as the routing fleet is to list it."""

    statement: Statement
    state: EndpointState
    is_trusted: bool  # with requests that have effects


class MembershipPort(Protocol):
    """What the controller needs of the router; called from within the controller's methods."""

    def apply_listings(self, listings: list[EndpointListing]) -> None:
        """Lists endpoints for the routing fleet, beside those listed already."""

    def check_health(self, statement: Statement) -> None:
        """Starts a health check; its result goes to `MembershipController.record_health_check`."""

    def apply_purge(self, purge: PurgeRecord) -> None:
        """Carries out a purge that was stored, or that another router told."""

    def log_event(self, event: str, /, **fields: object) -> None:
        """Writes an event to the router's log."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """What the controller takes from the settings. Spans are seconds."""

    deployment: str  # fingerprint of the settings' names
    router_count: int  # how many may start at the same moment
    upper_tier_kinds: tuple[str | None, ...]  # kinds of parents and origins
    fallback_delay_s: float  # how long a start waits for the live list
    hint_age_s: float  # past this age a list only says whom to check
    max_uninformed_copy_age_s: float  # 0: no bound
    quiet_s: float  # after so long without an update the live service counts as lost
    purge_completion_s: float  # after so long all servers have carried out a purge
