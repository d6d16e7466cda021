"""Which endpoint list is in force, and what the routing fleet is notified of. No I/O; every call carries the time."""

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

_MAX_CLOCK_SKEW_S = 5.0
_MAX_GONE_STORED = 2000
_MAX_GONE_EXCHANGED = 1000


class MembershipController:
    """Chooses among the live, exchanged, stored and static endpoint lists and puts all but the live one on probation.

    All times are Unix seconds.
    """

    def __init__(self, port: MembershipPort, random_source: RandomSource, settings: MembershipSettings) -> None:
        self._port, self._settings = port, settings
        self.statements = StatementTable()
        self.probation = Probation(random_source, settings.router_count, settings.hint_age_s, settings.upper_tier_kinds)
        self._purge_gap = PurgeGap(settings.max_uninformed_copy_age_s, settings.quiet_s)
        self._purges = RecentPurges(settings.purge_completion_s)
        self.stored_list: StoredList | None = None  # as read at the start, if it is of this deployment
        self._static: list[Statement] = []
        self._started_at = 0.0
        self.source, self._source_since, self._source_reason = ListSource.NONE, 0.0, "started"
        self._last_update_at, self._last_event = 0.0, 0  # of the live service, in this run
        self._is_complete = False  # the live service has told a complete list in this run
        self._answered_at: dict[int, float] = {}  # when an endpoint last answered this router
        self._listed: set[int] = set()  # what the fleet was notified of without the live list

    # At the start.

    def start(self, stored: StoredList | None, static: list[Statement], now: float) -> None:
        """Takes the stored list and the settings' one. Neither is used yet, since the live list may come in time."""
        self._started_at = self._source_since = now
        self._static = static
        if stored is None:
            return
        if stored.deployment != self._settings.deployment:
            self._port.log_event("membership_list_unusable", reason="it is the list of another deployment")
            return
        self.stored_list = stored
        self._purge_gap.set_start(stored.last_update_at)
        for endpoint_id, gone_at in stored.gone:
            self.statements.restore_gone(endpoint_id, gone_at)
        self._purges.restore(stored.purges)
        for purge in stored.purges:
            self._port.apply_purge(purge)

    def _stored_age_s(self, now: float) -> float | None:
        """Seconds since the live service last vouched for the stored list; None where that can't be known."""
        if self.stored_list is None or self.stored_list.written_at > now + _MAX_CLOCK_SKEW_S:
            return None
        if not 0.0 < self.stored_list.last_update_at <= now + _MAX_CLOCK_SKEW_S:
            return None
        return now - self.stored_list.last_update_at

    def tick(self, now: float) -> None:
        """To be called several times a second."""
        waited_s = now - self._started_at
        if self.source == ListSource.NONE and not self._is_complete and waited_s >= self._settings.fallback_delay_s:
            self._fall_back(now)
        if self.source != ListSource.LIVE:
            for statement in self.probation.start_due_checks(now):
                self._port.check_health(statement)

    def _fall_back(self, now: float) -> None:
        if self.stored_list is not None:
            statements = [to_statement(record) for record in self.stored_list.endpoints]
            self.adopt_fallback_list(statements, ListSource.REMEMBERED, self._stored_age_s(now), now)
        elif self._static:
            self.adopt_fallback_list(self._static, ListSource.STATIC, None, now)

    def adopt_fallback_list(
        self, statements: list[Statement], source: ListSource, age_s: float | None, now: float
    ) -> None:
        """Takes a list that is not the live one; its endpoints are then proven one by one."""
        before = dict(self.statements.endpoints)
        for statement in statements:
            self.statements.merge(statement)
        self.probation.adopt_list(list(self.statements.endpoints.values()), age_s, now)
        self._change_source(source, now, "no live list", age_s)
        for endpoint_id, old in before.items():  # what is gone, draining or moved by this list: at once
            new = self.statements.endpoints.get(endpoint_id)
            if new is None:
                self._list_gone(old)
            elif new.state != EndpointState.READY or new.address != old.address:
                self._list(new, new.state, is_trusted=False)

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

    def _list(self, statement: Statement, state: EndpointState, *, is_trusted: bool) -> None:
        self._port.apply_listings([EndpointListing(statement, state, is_trusted)])

    def _list_gone(self, statement: Statement) -> None:
        self._list(replace(statement, state=EndpointState.GONE), EndpointState.GONE, is_trusted=False)

    # The live service.

    def apply_live(self, statements: list[Statement], now: float, *, is_complete: bool) -> None:
        """Takes what the live service tells; the fleet has been notified already, with all of it trusted."""
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
            self._answered_at.pop(endpoint_id, None)
        self.probation.clear()
        self._listed.clear()
        self._is_complete = True
        if is_takeover:
            self._change_source(ListSource.LIVE, now, "complete live list")

    def handle_live_caught_up(self, now: float, last_event: int, *, is_continuous: bool) -> None:
        """The live service has nothing more to tell for now.

        Args:
            now: Unix seconds.
            last_event: the service's event number.
            is_continuous: it went on from the stored list's event, so that list and its changes are the live list.
        """
        self._last_update_at, self._last_event = now, last_event
        if is_continuous and not self._is_complete and self.stored_list is not None:
            for record in self.stored_list.endpoints:
                self.statements.merge(to_statement(record))
            self._is_complete = True
            self.probation.clear()
            self._port.apply_listings(
                [
                    EndpointListing(statement, statement.state, is_trusted=True)
                    for statement in self.statements.endpoints.values()
                ]
            )
            self._change_source(ListSource.LIVE, now, "stored list, and caught up")
        if self._is_complete:
            self._purge_gap.end(now)

    def is_live(self, now: float) -> bool:
        """Whether the live list is in force and the service was heard a moment ago."""
        return self.source == ListSource.LIVE and now - self._last_update_at <= self._settings.quiet_s

    # The list exchange.

    def apply_list_answer(self, answer: ListAnswer, now: float) -> bool:
        """Takes another router's list; whether it was of use. `draining` and `gone` count whatever its age."""
        if answer.deployment != self._settings.deployment:
            self._port.log_event("membership_exchange_unusable", reason="it is of another deployment")
            return False
        if self.is_live(now):
            return False
        self._apply_gone(answer.gone, now)
        self._apply_purges(answer.purges, now)
        statements = [
            to_statement(record, ListSource.SIBLING, stated_at=now - max(record.stated_at, 0.0))
            for record in answer.endpoints
        ]
        if self.source == ListSource.LIVE:  # the service is lost: only what takes endpoints out counts
            for statement in statements:
                if statement.state == EndpointState.DRAINING and self.statements.merge(statement):
                    self._list(statement, EndpointState.DRAINING, is_trusted=False)
            return True
        age_s = answer.last_update_age_s if answer.last_update_age_s >= 0 else None
        stored_age_s = self._stored_age_s(now) if self.source == ListSource.REMEMBERED else None
        if stored_age_s is not None and (age_s is None or age_s > stored_age_s):
            statements = [statement for statement in statements if statement.state != EndpointState.READY]
            age_s = stored_age_s
        self.adopt_fallback_list(statements, ListSource.SIBLING if statements else self.source, age_s, now)
        return True

    def _apply_gone(self, endpoint_ids: list[int], now: float) -> None:
        for endpoint_id in endpoint_ids:
            statement = self.statements.endpoints.get(endpoint_id)
            if statement is not None and self.statements.remove(endpoint_id, now):
                self.probation.remove(endpoint_id)
                self._list_gone(statement)

    def _apply_purges(self, purges: list[PurgeRecord], now: float) -> None:
        for purge in purges:
            if self._purges.is_newer(purge):
                self._purges.record(purge, now)
                self._port.apply_purge(purge)

    def make_list_answer(self, now: float) -> ListAnswer:
        """What other routers are answered, with ages in place of times."""
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
            gone=list(self.statements.gone)[-_MAX_GONE_EXCHANGED:],
            purges=self._purges.all_purges(),
        )

    # Results of health checks and requests.

    def record_health_check(self, endpoint_id: int, now: float, *, healthy: bool) -> None:
        """Takes the result of a health check."""
        if healthy:
            self._answered_at[endpoint_id] = now
        if self.probation.record_health_check(endpoint_id, now, healthy=healthy):
            self._relist(endpoint_id)

    def record_request(self, endpoint_id: int, now: float, *, answered: bool) -> None:
        """Takes the result of a repeatable request; one that was withdrawn or never sent tells nothing."""
        if answered:
            self._answered_at[endpoint_id] = now
        is_on_probation = self.source != ListSource.LIVE
        if is_on_probation and self.probation.record_request(endpoint_id, now, answered=answered):
            self._relist(endpoint_id)

    def _relist(self, endpoint_id: int) -> None:
        statement = self.statements.endpoints.get(endpoint_id)
        if statement is None:
            return
        state, is_trusted = self.probation.listing_state(endpoint_id)
        if is_trusted and endpoint_id not in self._listed:
            # However soon it was proven, it begins as one that may be warming up.
            self._list(statement, state, is_trusted=False)
        self._listed.add(endpoint_id)
        self._list(statement, state, is_trusted=is_trusted)
        trust = self.probation.entries[endpoint_id].state
        if trust in (TrustState.PROVEN, TrustState.DROPPED):
            self._port.log_event(
                "membership_endpoint_trust",
                endpoint=f"{endpoint_id:08x}",
                trust=trust.value,
                source=statement.source.value,
            )

    def needs_connection(self, endpoint_id: int) -> bool:
        """Whether connections to an endpoint are still wanted, though the fleet may not know it yet."""
        return endpoint_id in self.probation.entries

    # Purges.

    def record_purge(self, purge: PurgeRecord, now: float) -> None:
        """Notes a purge of the live service."""
        self._purges.record(purge, now)

    def max_copy_age_s(self, now: float) -> float | None:
        """The age past which copies must not be asked for, since a purge may be missing here; None for no bound."""
        return self._purge_gap.max_copy_age_s(now)

    # For the file and for the operators.

    def snapshot(self, now: float, usual_loads: tuple[float, float]) -> StoredList | None:
        """What to store now; None while there is nothing better than what is stored already.

        usual_loads: work a second to a warm server of each tier, caches first.
        """
        if not self._is_complete:
            return None
        return StoredList(
            deployment=self._settings.deployment,
            written_at=now,
            last_update_at=self._last_update_at,
            last_event=self._last_event,
            endpoints=[
                to_record(statement, self._trust_name(endpoint_id), self._answered_at.get(endpoint_id, 0.0))
                for endpoint_id, statement in self.statements.endpoints.items()
            ],
            gone=list(self.statements.gone.items())[-_MAX_GONE_STORED:],
            purges=self._purges.unfinished_purges(now),
            usual_loads=usual_loads,
        )

    def _trust_name(self, endpoint_id: int) -> str:
        entry = self.probation.entries.get(endpoint_id)
        if entry is not None:
            return entry.state.value
        return "vouched" if self.source == ListSource.LIVE else "unknown"

    def report_fields(self, now: float) -> dict[str, object]:
        """What the router's `report` event holds as `list`."""
        return {
            "source": self.source.value,
            "since_s": round(now - self._source_since, 1),
            "reason": self._source_reason,
            "endpoints": len(self.statements.endpoints),
            "gone": len(self.statements.gone),
            "health_checks": self.probation.health_check_count,
            "last_update_s": round(now - self._last_update_at, 1) if self._last_update_at else None,
            **self.probation.count_by_state(),
        }
