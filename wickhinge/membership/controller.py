"""Choice of the endpoint list in force, and of the endpoints that the routing fleet is notified of.

The module does no I/O. Methods get the time as an argument.
"""

from __future__ import annotations

from dataclasses import replace

from wickhinge.common.random_source import RandomSource
from wickhinge.membership.comparison import compare_lists
from wickhinge.membership.list_exchange import ListAnswer
from wickhinge.membership.port import EndpointListing, MembershipPort, MembershipSettings
from wickhinge.membership.probation import Probation, TrustState
from wickhinge.membership.purge_gap import PurgeGap
from wickhinge.membership.recent_purges import PurgeRecord, RecentPurges
from wickhinge.membership.statement_table import EndpointState, ListSource, Statement, StatementTable
from wickhinge.membership.stored_list import StoredList, to_record, to_statement

_MAX_CLOCK_SKEW_S = 5.0  # A stored list may be dated at most this far in the future; else its age is unknown.
_MAX_STORED_GONE_IDS = 2000
_MAX_EXCHANGED_GONE_IDS = 1000


class MembershipController:
    """Owner of the endpoint list in force, which puts the endpoints of all lists but the live one on probation.

    The live list comes from the discovery service in this run. The others are the stored list of an earlier run, a list
    exchanged with another router, and the static list of the options. All times are in Unix seconds.
    """

    def __init__(self, port: MembershipPort, random_source: RandomSource, settings: MembershipSettings) -> None:
        self._port, self._settings = port, settings
        self.statements = StatementTable()
        self.probation = Probation(random_source, settings.router_count, settings.hint_age_s, settings.upper_tier_kinds)
        self._purge_gap = PurgeGap(settings.max_uninformed_copy_age_s, settings.quiet_s)
        self._recent_purges = RecentPurges(settings.purge_completion_s)
        self.stored_list: StoredList | None = None  # List read at the start; None for that of another deployment.
        self._static_statements: list[Statement] = []
        self._started_at = 0.0
        self.source, self._source_since, self._source_reason = ListSource.NONE, 0.0, "started"
        self._last_update_at, self._last_event = 0.0, 0  # Time and event number of the last complete update.
        self._has_complete_live_list = False  # Whether a complete live list is known.
        self._last_answer_at: dict[int, float] = {}  # Time of each endpoint's last answer to this router.
        self._listed_ids: set[int] = set()  # Endpoints on probation that the routing fleet has been notified of.

    # Start, and choice of a fallback list.

    def start(self, stored: StoredList | None, static_statements: list[Statement], now: float) -> None:
        """Keep the stored and the static list for the case that the live list does not arrive in time.

        Purges of the stored list are carried out at once.

        Args:
            stored: The stored list, or None.
            static_statements: Endpoints that the options list.
            now: Unix seconds.
        """
        self._started_at = self._source_since = now
        self._static_statements = static_statements
        if stored is None:
            return
        if stored.deployment != self._settings.deployment:
            self._port.log_event("membership_list_unusable", reason="the stored list belongs to another deployment")
            return
        self.stored_list = stored
        self._purge_gap.set_start(stored.last_update_at)
        for endpoint_id, gone_at in stored.gone:
            self.statements.restore_gone(endpoint_id, gone_at)
        self._recent_purges.restore(stored.purges)
        for purge in stored.purges:
            self._port.apply_purge(purge)

    def _stored_age_s(self, now: float) -> float | None:
        """Return the seconds from the last complete update of the stored list until now, or None if unknown."""
        if self.stored_list is None or self.stored_list.written_at > now + _MAX_CLOCK_SKEW_S:
            return None
        if not 0.0 < self.stored_list.last_update_at <= now + _MAX_CLOCK_SKEW_S:
            return None
        return now - self.stored_list.last_update_at

    def tick(self, now: float) -> None:
        """Use a fallback list if the live list is late, and start due health checks.

        To be called several times a second.
        """
        time_since_start_s = now - self._started_at
        if (
            self.source == ListSource.NONE
            and not self._has_complete_live_list
            and time_since_start_s >= self._settings.fallback_delay_s
        ):
            self._adopt_stored_or_static_list(now)
        if self.source != ListSource.LIVE:
            for statement in self.probation.start_due_checks(now):
                self._port.check_health(statement)

    def _adopt_stored_or_static_list(self, now: float) -> None:
        if self.stored_list is not None:
            statements = [to_statement(record) for record in self.stored_list.endpoints]
            self.adopt_fallback_list(statements, ListSource.REMEMBERED, self._stored_age_s(now), now)
        elif self._static_statements:
            self.adopt_fallback_list(self._static_statements, ListSource.STATIC, None, now)

    def adopt_fallback_list(
        self, statements: list[Statement], source: ListSource, age_s: float | None, now: float
    ) -> None:
        """Merge a list other than the live one into the statements, and put its endpoints on probation.

        Args:
            statements: The list.
            source: Source of the list.
            age_s: Age of the list in seconds, or None if unknown.
            now: Unix seconds.
        """
        before = dict(self.statements.endpoints)
        for statement in statements:
            self.statements.merge(statement)
        self.probation.adopt_list(list(self.statements.endpoints.values()), age_s, now)
        self._change_source(source, now, "no live list", age_s)
        # Endpoints that the list states as gone, draining or at another address are passed to the fleet at once.
        for endpoint_id, old in before.items():
            new = self.statements.endpoints.get(endpoint_id)
            if new is None:
                self._apply_gone_listing(old)
            elif new.state != EndpointState.READY or new.address != old.address:
                self._apply_listing(new, new.state, is_trusted=False)

    def _change_source(self, source: ListSource, now: float, reason: str, age_s: float | None = None) -> None:
        if source == self.source and source != ListSource.LIVE:
            return
        previous = self.source
        self.source, self._source_since, self._source_reason = source, now, reason
        self._port.log_event(
            "membership_source_changed",
            source=source.value,
            previous=previous.value,
            reason=reason,
            endpoints=len(self.statements.endpoints),
            age_s=None if age_s is None else round(age_s, 1),
            last_update_at=self._last_update_at or None,
        )

    def _apply_listing(self, statement: Statement, state: EndpointState, *, is_trusted: bool) -> None:
        self._port.apply_listings([EndpointListing(statement, state, is_trusted)])

    def _apply_gone_listing(self, statement: Statement) -> None:
        self._apply_listing(replace(statement, state=EndpointState.GONE), EndpointState.GONE, is_trusted=False)

    # Updates of the discovery service.

    def apply_live(self, statements: list[Statement], now: float, *, is_complete: bool) -> None:
        """Apply statements of the discovery service, of which the routing fleet has been notified already.

        Args:
            statements: A complete list, or changes of the last one.
            now: Unix seconds.
            is_complete: Whether `statements` is a complete list.
        """
        if is_complete:
            self._apply_complete_list(statements, now)
            return
        for statement in statements:
            self.statements.merge(statement)
            self.probation.remove(statement.endpoint_id)

    def _apply_complete_list(self, statements: list[Statement], now: float) -> None:
        comparison = compare_lists(self.statements.endpoints.values(), statements)
        is_takeover = self.source != ListSource.LIVE
        if self.statements.endpoints and is_takeover or comparison.warnings:
            counts = {name: len(endpoint_ids) for name, endpoint_ids in comparison.ids_by_change().items()}
            self._port.log_event("membership_list_compared", warnings=comparison.warnings, **counts)
        for endpoint_id in self.statements.replace_all(statements, now):
            self._last_answer_at.pop(endpoint_id, None)
        self.probation.clear()
        self._listed_ids.clear()
        self._has_complete_live_list = True
        if is_takeover:
            self._change_source(ListSource.LIVE, now, "complete live list")

    def handle_live_caught_up(self, now: float, last_event: int, *, is_continuous: bool) -> None:
        """Record that all events of the discovery service have been received.

        Args:
            now: Unix seconds.
            last_event: Number of the last event.
            is_continuous: Whether the events began with the one that follows the last event of the stored list. The
                stored list with the changes received since is then the live list.
        """
        self._last_update_at, self._last_event = now, last_event
        if is_continuous and not self._has_complete_live_list and self.stored_list is not None:
            for record in self.stored_list.endpoints:
                self.statements.merge(to_statement(record))
            self._has_complete_live_list = True
            self.probation.clear()
            self._port.apply_listings(
                [
                    EndpointListing(statement, statement.state, is_trusted=True)
                    for statement in self.statements.endpoints.values()
                ]
            )
            self._change_source(ListSource.LIVE, now, "stored list, and caught up")
        if self._has_complete_live_list:
            self._purge_gap.end(now)

    def is_live(self, now: float) -> bool:
        """Return whether the live list is in force and the discovery service is not silent."""
        return self.source == ListSource.LIVE and now - self._last_update_at <= self._settings.quiet_s

    # List exchange with other routers.

    def apply_list_answer(self, answer: ListAnswer, now: float) -> bool:
        """Apply another router's list; return False if it was ignored.

        States `draining` and `gone` are applied whatever the age of the list.
        """
        if answer.deployment != self._settings.deployment:
            self._port.log_event(
                "membership_exchange_unusable", reason="the exchanged list belongs to another deployment"
            )
            return False
        if self.is_live(now):
            return False
        self._remove_gone_endpoints(answer.gone, now)
        self._apply_new_purges(answer.purges, now)
        statements = [
            to_statement(record, ListSource.SIBLING, stated_at=now - max(record.stated_at, 0.0))
            for record in answer.endpoints
        ]
        # When the discovery service falls silent, the live list stays in force. Lists of other routers can then only
        # take endpoints out of it.
        if self.source == ListSource.LIVE:
            for statement in statements:
                if statement.state == EndpointState.DRAINING and self.statements.merge(statement):
                    self._apply_listing(statement, EndpointState.DRAINING, is_trusted=False)
            return True
        age_s = answer.last_update_age_s if answer.last_update_age_s >= 0 else None
        stored_age_s = self._stored_age_s(now) if self.source == ListSource.REMEMBERED else None
        if stored_age_s is not None and (age_s is None or age_s > stored_age_s):
            statements = [statement for statement in statements if statement.state != EndpointState.READY]
            age_s = stored_age_s
        self.adopt_fallback_list(statements, ListSource.SIBLING if statements else self.source, age_s, now)
        return True

    def _remove_gone_endpoints(self, endpoint_ids: list[int], now: float) -> None:
        for endpoint_id in endpoint_ids:
            statement = self.statements.endpoints.get(endpoint_id)
            if statement is not None and self.statements.remove(endpoint_id, now):
                self.probation.remove(endpoint_id)
                self._apply_gone_listing(statement)

    def _apply_new_purges(self, purges: list[PurgeRecord], now: float) -> None:
        for purge in purges:
            if self._recent_purges.is_newer(purge):
                self._recent_purges.record(purge, now)
                self._port.apply_purge(purge)

    def make_list_answer(self, now: float) -> ListAnswer:
        """Return the answer to list requests of other routers, which has ages instead of times."""
        age_s: float | None = None
        if self._last_update_at:
            age_s = now - self._last_update_at
        elif self.stored_list is not None:
            age_s = self._stored_age_s(now)
        return ListAnswer(
            deployment=self._settings.deployment,
            last_update_age_s=-1.0 if age_s is None else age_s,
            last_event=self._last_event,
            endpoints=[
                to_record(replace(statement, stated_at=max(now - statement.stated_at, 0.0)))
                for statement in self.statements.endpoints.values()
            ],
            gone=list(self.statements.gone_times)[-_MAX_EXCHANGED_GONE_IDS:],
            purges=self._recent_purges.all_purges(),
        )

    # Results of health checks and requests.

    def record_health_check(self, endpoint_id: int, now: float, *, healthy: bool) -> None:
        """Record the result of a health check."""
        if healthy:
            self._last_answer_at[endpoint_id] = now
        if self.probation.record_health_check(endpoint_id, now, healthy=healthy):
            self._apply_probation_listing(endpoint_id)

    def record_request(self, endpoint_id: int, now: float, *, answered: bool) -> None:
        """Record the result of an idempotent request.

        A request that was cancelled or never sent says nothing about the endpoint and must not be recorded.
        """
        if answered:
            self._last_answer_at[endpoint_id] = now
        is_on_probation = self.source != ListSource.LIVE
        if is_on_probation and self.probation.record_request(endpoint_id, now, answered=answered):
            self._apply_probation_listing(endpoint_id)

    def _apply_probation_listing(self, endpoint_id: int) -> None:
        statement = self.statements.endpoints.get(endpoint_id)
        if statement is None:
            return
        state, is_trusted = self.probation.listing_state(endpoint_id)
        if is_trusted and endpoint_id not in self._listed_ids:
            # The fleet first lists the endpoint as untrusted, however soon it is proven, so that it gets a slow start.
            self._apply_listing(statement, state, is_trusted=False)
        self._listed_ids.add(endpoint_id)
        self._apply_listing(statement, state, is_trusted=is_trusted)
        trust = self.probation.entries[endpoint_id].state
        if trust in (TrustState.PROVEN, TrustState.DROPPED):
            self._port.log_event(
                "membership_endpoint_trust",
                endpoint=f"{endpoint_id:08x}",
                trust=trust.value,
                source=statement.source.value,
            )

    def needs_connection(self, endpoint_id: int) -> bool:
        """Return whether connections to an endpoint must stay open although the fleet may not list it yet."""
        return endpoint_id in self.probation.entries

    # Purges, and the age limit of copies.

    def record_purge(self, purge: PurgeRecord, now: float) -> None:
        """Record a purge that the discovery service has sent."""
        self._recent_purges.record(purge, now)

    def max_copy_age_s(self, now: float) -> float | None:
        """Return the greatest permitted age of a copy while purges may be unknown here; None for no limit."""
        return self._purge_gap.max_copy_age_s(now)

    # Content of the stored list and of the report.

    def snapshot(self, now: float, usual_loads: tuple[float, float]) -> StoredList | None:
        """Return the list to store, or None before a complete live list has been received in this run.

        Args:
            now: Unix seconds.
            usual_loads: Seconds of work per second that go to one warm cache, and to one warm parent.
        """
        if not self._has_complete_live_list:
            return None
        return StoredList(
            deployment=self._settings.deployment,
            written_at=now,
            last_update_at=self._last_update_at,
            last_event=self._last_event,
            endpoints=[
                to_record(statement, self._trust_name(endpoint_id), self._last_answer_at.get(endpoint_id, 0.0))
                for endpoint_id, statement in self.statements.endpoints.items()
            ],
            gone=list(self.statements.gone_times.items())[-_MAX_STORED_GONE_IDS:],
            purges=self._recent_purges.unfinished_purges(now),
            usual_loads=usual_loads,
        )

    def _trust_name(self, endpoint_id: int) -> str:
        entry = self.probation.entries.get(endpoint_id)
        if entry is not None:
            return entry.state.value
        return "vouched" if self.source == ListSource.LIVE else "unknown"

    def report_fields(self, now: float) -> dict[str, object]:
        """Return the entry `list` of the router's `report` event."""
        return {
            "source": self.source.value,
            "since_s": round(now - self._source_since, 1),
            "reason": self._source_reason,
            "endpoints": len(self.statements.endpoints),
            "gone": len(self.statements.gone_times),
            "health_checks": self.probation.health_check_count,
            "last_update_s": round(now - self._last_update_at, 1) if self._last_update_at else None,
            **self.probation.count_by_state(),
        }
