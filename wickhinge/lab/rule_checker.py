"""Checks five rules on the messages that were really sent, independently of what the routers know."""

from __future__ import annotations

from collections import Counter
from typing import Any

ANSWER_TOLERANCE_S = 0.05
DRAIN_GRACE_S = 0.5
PURGE_GRACE_S = 1.0
MAX_DESCRIBED_VIOLATIONS = 50


class RuleChecker:
    """Counts violations of five rules; all times are virtual times in seconds.

    Rule 1: each request gets exactly one final answer, in time.
    Rule 2: a request that is not idempotent is executed at most once.
    Rule 3: no new attempt goes to a server that is draining.
    Rule 4: no server is overloaded during its slow start.
    Rule 5: no copy is served that is older than a purge of its object.
    """

    def __init__(self) -> None:
        self.violation_counts: Counter[int] = Counter()
        self.first_violations: list[tuple[float, int, str]] = []
        # When the router learned that the server drains, by (router, server).
        self.drain_times: dict[int, float] = {}
        # Purges of each object: (the purge's time stamp, when the routers received it).
        self.purges: dict[int, list[tuple[float, float]]] = {}
        self.max_overload = 0.0  # Highest load of a cold server relative to the load that overloads it (rule 4).

    def add_violation(self, rule: int, when: float, what: str) -> None:
        """Count a violation of a rule, and keep the description of the first ones."""
        self.violation_counts[rule] += 1
        if len(self.first_violations) < MAX_DESCRIBED_VIOLATIONS:
            self.first_violations.append((round(when, 4), rule, what))

    def on_answer(self, request: Any, when: float, result: str) -> None:
        """Check rule 1; called when a client gets a final answer."""
        request.answer_count += 1
        if request.answer_count > 1:
            self.add_violation(1, when, f"request {request.number} got a second answer, {result}")
        elif when > request.deadline + ANSWER_TOLERANCE_S:
            self.add_violation(1, when, f"request {request.number} got its answer after the deadline, {result}")

    def on_deadline(self, request: Any, when: float) -> None:
        """Check rule 1; called when a request must have been answered."""
        if not request.answer_count:
            self.add_violation(1, when, f"request {request.number} got no answer")

    def on_attempt(self, request: Any, router: int, server: int, source: int | None, when: float) -> None:
        """Check rules 1, 2 and 3; called when a router sends an attempt."""
        if request.answer_count:
            self.add_violation(1, when, f"an attempt for request {request.number} was sent after its answer")
        for server_id in {server, source} - {None}:
            drain_time = self.drain_times.get((router, server_id))
            if drain_time is not None and when > drain_time + DRAIN_GRACE_S:
                self.add_violation(
                    3,
                    when,
                    f"an attempt for request {request.number} uses server {server_id}, "
                    f"which has been draining since {drain_time:.2f}",
                )
        if request.is_exclusive and request.execution_count:
            self.add_violation(2, when, f"request {request.number} was sent again and may have been executed")

    def on_execution(self, request: Any, when: float) -> None:
        """Check rule 2; called when a server executes a request that has effects."""
        request.execution_count += 1
        if request.is_exclusive and request.execution_count > 1:
            self.add_violation(2, when, f"request {request.number} was executed twice")

    def on_rejection(self, request: Any, when: float) -> None:
        """Check rule 2; called when a router rejects a request, which tells the client that it may send it again."""
        if request.is_exclusive and request.execution_count:
            self.add_violation(2, when, f"request {request.number} was rejected after it had been executed")

    def on_overload(self, server: int, load_ratio: float, when: float) -> None:
        """Count a violation of rule 4; called when a server crashes from overload in its slow start."""
        self.max_overload = max(self.max_overload, load_ratio)
        self.add_violation(4, when, f"server {server} had {load_ratio:.2f} times the load that it can bear when cold")

    def on_purge(self, key: int, stamp: float, received_at: float) -> None:
        """Record a purge for rule 5; called when an object is purged."""
        self.purges.setdefault(key, []).append((stamp, received_at))

    def on_copy_served(self, request: Any, created_at: float, when: float) -> None:
        """Check rule 5; called when a client gets a copy that was fetched from the origin at `created_at`."""
        for stamp, received_at in self.purges.get(request.key, ()):
            if created_at <= stamp and request.arrived_at > received_at + PURGE_GRACE_S:
                self.add_violation(
                    5, when, f"request {request.number} got a copy made at {created_at:.2f}, purged at {stamp:.2f}"
                )
                return
