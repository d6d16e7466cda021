"""Probation of endpoints that are not in a live list: health checks decide how far each endpoint is trusted.

Transitions between the states of an endpoint:

    unproven -> proving   A health check succeeded. The endpoint gets idempotent requests, one at a time, like a server
                          with a cold cache.
    proving  -> proven    The number of successes that the age of its list requires is reached. The endpoint gets
                          requests with effects as well.
    any      -> doubted   A health check or request failed. The endpoint gets no requests. It is unproven again after
                          a delay that doubles with each failure.
    any      -> dropped   The number of failures in a row that the age of its list permits is reached. Only a newer
                          statement makes the endpoint unproven again.

An answer shows that a program at the address speaks the protocol. It shows neither which server that is, nor its kind,
zone or cell, nor whether it receives purges; docs/notes/discovery.md describes the consequences.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from wickhinge.common.random_source import RandomSource
from wickhinge.membership.statement_table import EndpointState, Statement

# Shortest and longest nominal delay before a doubted endpoint is checked again; the delay doubles with each failure.
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.5, 30.0
_CHECK_INTERVAL_S = 0.3  # Shortest time between two health checks of an endpoint that count as two successes.
_START_SPREAD_PER_ROUTER_S = 0.02  # First checks are spread over this time for each router that may start at once.
_MAX_RECENT_LIST_AGE_S = 60.0
_MAX_CLOCK_SKEW_S = 5.0  # A list that seems to come from the future by at most this time has the age 0.


class TrustState(Enum):
    """Trust that an endpoint has earned in this run. The values occur in stored lists and in the log."""

    UNPROVEN = "unproven"
    PROVING = "proving"
    PROVEN = "proven"
    DOUBTED = "doubted"
    DROPPED = "dropped"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbationPolicy:
    """Conditions of the probation, which depend on the age of the endpoint list.

    Attributes:
        is_hint: Whether the list is so old that it only tells which addresses to check. An endpoint then becomes proven
            only if it has answered a request; health checks alone are not enough.
        is_recent: Whether the age of the list is at most _MAX_RECENT_LIST_AGE_S.
        required_successes: Successful health checks and requests after which an endpoint is proven.
        max_proving_endpoints: Number of endpoints that may be proving or have a first health check at the same time.
        max_consecutive_failures: Failures in a row after which an endpoint is dropped.
    """

    is_hint: bool
    is_recent: bool
    required_successes: int
    max_proving_endpoints: int
    max_consecutive_failures: int

    @classmethod
    def for_age(cls, age_s: float | None, endpoint_count: int, hint_age_s: float) -> ProbationPolicy:
        """Return the policy for a list of the given age.

        Args:
            age_s: Age of the list, or None if unknown. An age well below 0 comes from a clock that was ahead, and
                counts as unknown. A list of unknown age is a hint.
            endpoint_count: Number of endpoints in the list.
            hint_age_s: Age past which a list is a hint.
        """
        known_age_s = hint_age_s + 1.0 if age_s is None or age_s < -_MAX_CLOCK_SKEW_S else max(age_s, 0.0)
        is_hint = known_age_s > hint_age_s
        if known_age_s <= _MAX_RECENT_LIST_AGE_S:
            max_proving_endpoints = max(4, endpoint_count // 2)
            return cls(
                is_hint=is_hint,
                is_recent=True,
                required_successes=1,
                max_proving_endpoints=max_proving_endpoints,
                max_consecutive_failures=6,
            )
        if is_hint:
            return cls(
                is_hint=True, is_recent=False, required_successes=3, max_proving_endpoints=2, max_consecutive_failures=2
            )
        max_proving_endpoints = max(3, endpoint_count // 6)
        return cls(
            is_hint=False,
            is_recent=False,
            required_successes=2,
            max_proving_endpoints=max_proving_endpoints,
            max_consecutive_failures=4,
        )


@dataclass(slots=True)
class ProbationEntry:
    """One endpoint on probation.

    Attributes:
        statement: Statement that describes the endpoint.
        next_check_at: Earliest time of the next health check, in Unix seconds.
        state_changed_at: Time of the last change of the state, in Unix seconds.
        state: Trust in the endpoint.
        success_count: Successful health checks and requests since the last failure.
        failure_count: Failed health checks and requests since the last success.
        retry_delay_s: Nominal delay of the next health check after a further failure.
        is_check_in_progress: Whether a health check has been started and its result not recorded yet.
        has_answered_request: Whether the endpoint has answered a request since the last failure.
    """

    statement: Statement
    next_check_at: float
    state_changed_at: float
    state: TrustState = TrustState.UNPROVEN
    success_count: int = 0
    failure_count: int = 0
    retry_delay_s: float = field(default=MIN_RETRY_DELAY_S)
    is_check_in_progress: bool = False
    has_answered_request: bool = False


class Probation:
    """Probation of the endpoints of a list that is not the live one.

    The argument `now` of all methods is in Unix seconds.
    """

    def __init__(
        self,
        random_source: RandomSource,
        router_count: int,
        hint_age_s: float,
        upper_tier_kinds: tuple[str | None, ...],
    ) -> None:
        """Create a probation without endpoints.

        Args:
            random_source: Source of the random order and delays.
            router_count: Number of routers that may start at the same moment.
            hint_age_s: Age past which a list is a hint (see ProbationPolicy).
            upper_tier_kinds: Kinds of parents and origins.
        """
        self._random_source, self._hint_age_s, self._upper_tier_kinds = random_source, hint_age_s, upper_tier_kinds
        self._first_check_spread_s = _START_SPREAD_PER_ROUTER_S * max(router_count, 1)
        self.entries: dict[int, ProbationEntry] = {}
        self.policy = ProbationPolicy.for_age(None, 0, hint_age_s)
        self.health_check_count = 0  # Health checks started in this run.

    def adopt_list(self, statements: list[Statement], age_s: float | None, now: float) -> None:
        """Put the endpoints of a list on probation.

        Only ready endpoints are on probation. One that is on probation already keeps its state unless its address has
        changed. A dropped endpoint becomes unproven again if its new statement is later than the drop.

        Args:
            statements: The endpoint list.
            age_s: Age of the list in seconds, or None if unknown.
            now: Unix seconds.
        """
        self.policy = ProbationPolicy.for_age(age_s, len(statements), self._hint_age_s)
        for index, statement in enumerate(sorted(statements, key=self._check_order_key)):
            entry = self.entries.get(statement.endpoint_id)
            if statement.state != EndpointState.READY:
                self.entries.pop(statement.endpoint_id, None)
            elif entry is not None and entry.statement.address == statement.address:
                entry.statement = statement
                if entry.state is TrustState.DROPPED and statement.stated_at > entry.state_changed_at:
                    self.entries[statement.endpoint_id] = ProbationEntry(statement, now, now)
            else:
                # The random delay keeps routers that start at the same moment from checking a server all at once.
                first_check_at = now + self._first_check_spread_s * self._random_source.draw() + 0.001 * index
                self.entries[statement.endpoint_id] = ProbationEntry(statement, first_check_at, now)

    def _check_order_key(self, statement: Statement) -> tuple[bool, float]:
        """Return the key that orders the first checks.

        In a recent list, caches come first. In an older one, parents and origins do, since they change less often.
        The order within each group is random.
        """
        is_cache = statement.kind not in self._upper_tier_kinds
        return is_cache != self.policy.is_recent, self._random_source.draw()

    def start_due_checks(self, now: float) -> list[Statement]:
        """Return the statements of the endpoints whose health check must be started now.

        An endpoint is not returned again until `record_health_check` has been called for it.
        """
        occupied_slots = sum(
            entry.is_check_in_progress or entry.state is TrustState.PROVING for entry in self.entries.values()
        )
        due_statements = []
        for entry in self.entries.values():
            is_settled = entry.state in (TrustState.PROVEN, TrustState.DROPPED)
            if entry.is_check_in_progress or is_settled or now < entry.next_check_at:
                continue
            if entry.state is not TrustState.PROVING:
                if occupied_slots >= self.policy.max_proving_endpoints:
                    continue
                occupied_slots += 1
            entry.is_check_in_progress = True
            if entry.state is TrustState.DOUBTED:
                self._change_state(entry, TrustState.UNPROVEN, now)
            self.health_check_count += 1
            due_statements.append(entry.statement)
        return due_statements

    def record_health_check(self, endpoint_id: int, now: float, *, healthy: bool) -> bool:
        """Record the result of a health check; return whether the routing fleet must be notified of a change."""
        entry = self.entries.get(endpoint_id)
        if entry is None:
            return False
        entry.is_check_in_progress = False
        return self._record_success(entry, now) if healthy else self._record_failure(entry, now)

    def record_request(self, endpoint_id: int, now: float, *, answered: bool) -> bool:
        """Record the result of an idempotent request; return whether the routing fleet must be notified of a change."""
        entry = self.entries.get(endpoint_id)
        if entry is None or entry.state is TrustState.DROPPED:
            return False
        if not answered:
            return self._record_failure(entry, now)
        entry.has_answered_request = True
        return self._record_success(entry, now)

    def _record_success(self, entry: ProbationEntry, now: float) -> bool:
        entry.success_count += 1
        entry.retry_delay_s, entry.failure_count = MIN_RETRY_DELAY_S, 0
        entry.next_check_at = now + _CHECK_INTERVAL_S * (1 + self._random_source.draw())
        if entry.state is TrustState.PROVEN:
            return False
        if entry.success_count >= self.policy.required_successes and (
            entry.has_answered_request or not self.policy.is_hint
        ):
            return self._change_state(entry, TrustState.PROVEN, now)
        return self._change_state(entry, TrustState.PROVING, now)

    def _record_failure(self, entry: ProbationEntry, now: float) -> bool:
        entry.failure_count += 1
        entry.success_count, entry.has_answered_request = 0, False
        if entry.failure_count >= self.policy.max_consecutive_failures:
            return self._change_state(entry, TrustState.DROPPED, now)
        entry.next_check_at = now + entry.retry_delay_s * (0.5 + self._random_source.draw())
        entry.retry_delay_s = min(2 * entry.retry_delay_s, MAX_RETRY_DELAY_S)
        return self._change_state(entry, TrustState.DOUBTED, now)

    def _change_state(self, entry: ProbationEntry, state: TrustState, now: float) -> bool:
        """Set the state of an endpoint; return whether the routing fleet must be notified of the change."""
        if state is entry.state:
            return False
        entry.state, entry.state_changed_at = state, now
        return state is not TrustState.UNPROVEN

    def listing_state(self, endpoint_id: int) -> tuple[EndpointState, bool]:
        """Return the state of an endpoint for the routing fleet, and whether requests with effects may go to it."""
        entry = self.entries.get(endpoint_id)
        if entry is None or entry.state not in (TrustState.PROVING, TrustState.PROVEN):
            return EndpointState.DRAINING, False
        return EndpointState.READY, entry.state is TrustState.PROVEN

    def remove(self, endpoint_id: int) -> None:
        """End the probation of an endpoint if it is on probation."""
        self.entries.pop(endpoint_id, None)

    def clear(self) -> None:
        """End the probation of all endpoints; endpoints of a live list need none."""
        self.entries.clear()

    def count_by_state(self) -> dict[str, int]:
        """Return the number of endpoints in each state, by the value of the state."""
        counts = {state.value: 0 for state in TrustState}
        for entry in self.entries.values():
            counts[entry.state.value] += 1
        return counts
