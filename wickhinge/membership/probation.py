"""Probation by health checks: which endpoints that no live list vouches for are checked, when, and what that proves.

    unproven -> proving   it passed a health check: repeatable requests may go there, one at a time, as to a cold server
    proving  -> proven    it answered as often as its list's age asks for: requests with effects may go there too
    any      -> doubted   it refused or did not answer: left alone, longer each time, then unproven again
    doubted  -> dropped   after as many failures as its list's age allows; only a newer statement brings it back

An answer proves that something speaks the protocol at an address. It proves neither which server that is, nor its
kind, zone or cell, nor that it hears of purges; see docs/notes/discovery.md for what follows from each.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from wickhinge.common.random_source import RandomSource
from wickhinge.membership.statement_table import EndpointState, Statement

MIN_REST_S, MAX_REST_S = 0.5, 30.0  # a doubted endpoint is left alone for so long, doubled each time
_CHECK_INTERVAL_S = 0.3  # between two health checks that count as two proofs
_START_SPREAD_S = 0.02  # for each router that may start at the same moment
_RECENT_S = 60.0  # a list up to this age is recent
_CLOCK_SKEW_S = 5.0


class TrustState(Enum):
    """How far an endpoint has proven itself in this run. The values stand in stored lists and in the log."""

    UNPROVEN = "unproven"
    PROVING = "proving"
    PROVEN = "proven"
    DOUBTED = "doubted"
    DROPPED = "dropped"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbationTerms:
    """What a list of some age is good for."""

    is_hint: bool  # so old that it only says whom to check; health checks alone then prove nothing
    is_recent: bool
    proofs_needed: int
    max_proving: int  # endpoints in proving at once
    max_failures: int  # in a row, until an endpoint is dropped

    @classmethod
    def of_age(cls, age_s: float | None, endpoint_count: int, hint_age_s: float) -> ProbationTerms:
        """The terms of a list.

        Args:
            age_s: None, or well below 0, where a clock was ahead or nobody knows: as for a hint.
            endpoint_count: how many endpoints the list names.
            hint_age_s: past this age a list is only a hint.
        """
        known_age_s = hint_age_s + 1.0 if age_s is None or age_s < -_CLOCK_SKEW_S else max(age_s, 0.0)
        is_hint = known_age_s > hint_age_s
        if known_age_s <= _RECENT_S:
            max_proving = max(4, endpoint_count // 2)
            return cls(is_hint=is_hint, is_recent=True, proofs_needed=1, max_proving=max_proving, max_failures=6)
        if is_hint:
            return cls(is_hint=True, is_recent=False, proofs_needed=3, max_proving=2, max_failures=2)
        max_proving = max(3, endpoint_count // 6)
        return cls(is_hint=False, is_recent=False, proofs_needed=2, max_proving=max_proving, max_failures=4)


@dataclass(slots=True)
class ProbationEntry:
    """One endpoint on probation. Times are Unix seconds."""

    statement: Statement
    due_at: float  # when it is checked next
    changed_at: float  # when its state last changed
    state: TrustState = TrustState.UNPROVEN
    proofs: int = 0
    failures: int = 0
    rest_s: float = field(default=MIN_REST_S)
    check_in_progress: bool = False
    answered_request: bool = False


class Probation:
    """All endpoints of one list that is not the live one. `now` is Unix seconds everywhere."""

    def __init__(
        self, random_source: RandomSource, routers: int, hint_age_s: float, upper_tier_kinds: tuple[str | None, ...]
    ) -> None:
        """upper_tier_kinds: kinds of parents and origins; routers: how many may start at the same moment."""
        self._random_source, self._hint_age_s, self._upper_tier_kinds = random_source, hint_age_s, upper_tier_kinds
        self._spread_s = _START_SPREAD_S * max(routers, 1)
        self.entries: dict[int, ProbationEntry] = {}
        self.terms = ProbationTerms.of_age(None, 0, hint_age_s)
        self.health_checks = 0  # asked for so far

    def adopt_list(self, statements: list[Statement], age_s: float | None, now: float) -> None:
        """Takes a list, or a newer one; what was proven in this run stays so unless its address changed."""
        self.terms = ProbationTerms.of_age(age_s, len(statements), self._hint_age_s)
        for index, statement in enumerate(sorted(statements, key=self._order)):
            entry = self.entries.get(statement.endpoint_id)
            if statement.state != EndpointState.READY:
                self.entries.pop(statement.endpoint_id, None)
            elif entry is not None and entry.statement.address == statement.address:
                entry.statement = statement
                if entry.state is TrustState.DROPPED and statement.stated_at > entry.changed_at:
                    self.entries[statement.endpoint_id] = ProbationEntry(statement, now, now)
            else:
                # Routers that start at the same moment must not check one server at the same moment.
                due_at = now + self._spread_s * self._random_source.draw() + 0.001 * index
                self.entries[statement.endpoint_id] = ProbationEntry(statement, due_at, now)

    def _order(self, statement: Statement) -> tuple[bool, float]:
        """By chance; unless the list is recent, parents and origins first, since they change less often."""
        is_cache = statement.kind not in self._upper_tier_kinds
        return is_cache != self.terms.is_recent, self._random_source.draw()

    def start_due_checks(self, now: float) -> list[Statement]:
        """Whom to check now; each once until `record_health_check` or a request tells what came of it."""
        busy = sum(entry.check_in_progress or entry.state is TrustState.PROVING for entry in self.entries.values())
        due = []
        for entry in self.entries.values():
            is_settled = entry.state in (TrustState.PROVEN, TrustState.DROPPED)
            if entry.check_in_progress or is_settled or now < entry.due_at:
                continue
            if entry.state is not TrustState.PROVING:
                if busy >= self.terms.max_proving:
                    continue
                busy += 1
            entry.check_in_progress = True
            if entry.state is TrustState.DOUBTED:
                self._change_state(entry, TrustState.UNPROVEN, now)
            self.health_checks += 1
            due.append(entry.statement)
        return due

    def record_health_check(self, endpoint_id: int, now: float, *, healthy: bool) -> bool:
        """Takes the result of a health check; whether the endpoint is to be listed anew."""
        entry = self.entries.get(endpoint_id)
        if entry is None:
            return False
        entry.check_in_progress = False
        return self._record_proof(entry, now) if healthy else self._record_failure(entry, now)

    def record_request(self, endpoint_id: int, now: float, *, answered: bool) -> bool:
        """Takes the result of a repeatable request; whether the endpoint is to be listed anew."""
        entry = self.entries.get(endpoint_id)
        if entry is None or entry.state is TrustState.DROPPED:
            return False
        if not answered:
            return self._record_failure(entry, now)
        entry.answered_request = True
        return self._record_proof(entry, now)

    def _record_proof(self, entry: ProbationEntry, now: float) -> bool:
        entry.proofs += 1
        entry.rest_s, entry.failures = MIN_REST_S, 0
        entry.due_at = now + _CHECK_INTERVAL_S * (1 + self._random_source.draw())
        if entry.state is TrustState.PROVEN:
            return False
        if entry.proofs >= self.terms.proofs_needed and (entry.answered_request or not self.terms.is_hint):
            return self._change_state(entry, TrustState.PROVEN, now)
        return self._change_state(entry, TrustState.PROVING, now)

    def _record_failure(self, entry: ProbationEntry, now: float) -> bool:
        entry.failures += 1
        entry.proofs, entry.answered_request = 0, False
        if entry.failures >= self.terms.max_failures:
            return self._change_state(entry, TrustState.DROPPED, now)
        entry.due_at = now + entry.rest_s * (0.5 + self._random_source.draw())
        entry.rest_s = min(2 * entry.rest_s, MAX_REST_S)
        return self._change_state(entry, TrustState.DOUBTED, now)

    def _change_state(self, entry: ProbationEntry, state: TrustState, now: float) -> bool:
        """True where the routing fleet has to be notified of it."""
        if state is entry.state:
            return False
        entry.state, entry.changed_at = state, now
        return state is not TrustState.UNPROVEN

    def listing(self, endpoint_id: int) -> tuple[EndpointState, bool]:
        """The state to list an endpoint with, and whether it is trusted with requests that have effects."""
        entry = self.entries.get(endpoint_id)
        if entry is None or entry.state not in (TrustState.PROVING, TrustState.PROVEN):
            return EndpointState.DRAINING, False
        return EndpointState.READY, entry.state is TrustState.PROVEN

    def remove(self, endpoint_id: int) -> None:
        """Ends the probation of an endpoint, if it is on any."""
        self.entries.pop(endpoint_id, None)

    def clear(self) -> None:
        """Ends all probation: a live list vouches for what it names."""
        self.entries.clear()

    def counts(self) -> dict[str, int]:
        """How many endpoints are in each state, by its value."""
        counts = {state.value: 0 for state in TrustState}
        for entry in self.entries.values():
            counts[entry.state.value] += 1
        return counts
