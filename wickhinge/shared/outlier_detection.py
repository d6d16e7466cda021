"""Outlier detection by several routers, which exchange verdicts on servers as evidence and never as orders.

A router sends verdicts that rest on its own evidence: on caches to the routers of its zone, on parents to all routers.
It sends them at once when a verdict changes, and with each datagram that is sent anyway. It applies the verdicts of
other routers only by these rules:

- At least two witnesses agree, and they outnumber the witnesses that find the server healthy. Unhealthy routers do not
  count as witnesses, and each verdict is at most VERDICT_MAX_AGE_S old.
- UNREACHABLE: the server is ejected for EJECTION_S at a time while the witnesses say so. One failure of this router's
  own request then makes the server count as failed. Some of the location's routers, chosen at random, send the server
  a health check at once. The witnesses go on trying the server, as `routing` does with any failed server.
- SLOW: where this router has few recent answers of its own, it lowers the server's concurrency limit to the median of
  the witnesses' amounts, relative to the other servers of the tier. From then on the limit recovers as `routing` lets
  all limits recover, and the router's own answers move it. A router that applied a verdict sends none on that server,
  so that no verdict is confirmed by its own echo.
- RESTARTED: a restart that neither the endpoint list nor this router has seen counts from the time when the witnesses
  saw it.
- At most MAX_OVERRIDDEN_SHARE of a location's caches are under an applied verdict of other routers at a time, and at
  most that fraction of its parents; one server of each tier always may be.

A router that finds more than half of its servers not healthy, while other routers find these servers healthy, has a
faulty network itself and is called unhealthy. The other routers ignore its verdicts, and it sends none once it learns
from their verdicts that it is unhealthy. Nothing here waits, and changed verdicts cause at most MAX_PUSHES_PER_S extra
datagrams a second. Without verdicts of other routers no server's state is changed here, so a router that receives none
works as well as a router without this exchange.
"""

from __future__ import annotations

from wickhinge.common.log_event import LogEvent, ignore_event
from wickhinge.common.random_source import shuffle
from wickhinge.common.sealing import DatagramError
from wickhinge.common.token_bucket import TokenBucket
from wickhinge.peers.detector import FailureDetector
from wickhinge.peers.messages import MessageKind
from wickhinge.shared import verdicts
from wickhinge.shared.evidence import (
    EJECTION_S,
    EVALUATION_INTERVAL_S,
    NEVER_S,
    OWN_EVIDENCE_MAX_AGE_S,
    VERDICT_MAX_AGE_S,
    Evidence,
)
from wickhinge.shared.peer_verdicts import MIN_WITNESSES, Agreement, Observation, PeerVerdicts
from wickhinge.shared.ports import CheckHealth, Endpoints, Server
from wickhinge.shared.verdicts import HEALTH_NAMES, Health, Verdict

MAX_OVERRIDDEN_SHARE = 1 / 3  # Largest fraction of a tier's servers under an applied verdict at a time.
MIN_ANSWERS_TO_IGNORE_SLOW = 6.0  # With this many recent answers of its own, a router ignores a SLOW verdict.
MIN_SERVERS_TO_DOUBT_ROUTER = 3  # With fewer servers to compare, no router is called unhealthy.
MEAN_HEALTH_CHECKERS = 3.0  # Mean number of a location's routers that check an unreachable server per evaluation.
MAX_PUSHES_PER_S = 16.0  # Most datagrams a second that are sent only because a verdict changed.
MIN_LOWERED_LIMIT = 0.3  # Lowest concurrency limit that a SLOW verdict sets.
MAX_REPORTED_SERVERS = 64  # Most servers in the report.
MAX_REPORTED_WITNESSES = 16  # Most unhealthy routers in the report.


def median_limit_ratio(servers: list[Server]) -> float:
    """Return the median of concurrency limit over maximum concurrency limit; 1.0 for no servers."""
    return (
        sorted(server.concurrency_limit / server.max_concurrency_limit for server in servers)[len(servers) // 2]
        if servers
        else 1.0
    )


class OutlierDetector:
    """Applies other routers' verdicts on servers where this router's own evidence does not contradict them.

    Attributes:
        evidence: This router's own evidence, by server id.
        peer_verdicts: The verdicts of other routers.
        is_unhealthy: Whether other routers' verdicts show that this router's own network is faulty.
        applied_count: Number of times that a verdict of other routers changed a server's state.
        unreadable_count: Number of received payloads that could not be decoded.
    """

    def __init__(
        self,
        detector: FailureDetector,
        endpoints: Endpoints,
        check_health: CheckHealth,
        log: LogEvent = ignore_event,
    ) -> None:
        """Create a detector without evidence.

        Args:
            detector: Failure detector that knows the peers and carries the payloads.
            endpoints: The endpoint list.
            check_health: Called with each server that needs a health check at once.
            log: Called with the name and the fields of each event.
        """
        self.detector = detector
        self.endpoints = endpoints
        self.evidence: dict[int, Evidence] = {}
        self.peer_verdicts = PeerVerdicts()
        self.is_unhealthy = False
        self.applied_count = 0
        self.unreadable_count = 0
        self._check_health = check_health
        self._log = log
        self._evaluated_at = NEVER_S
        self._pushes = TokenBucket(MAX_PUSHES_PER_S, MAX_PUSHES_PER_S, 0.0, tokens=MAX_PUSHES_PER_S)

    def tick(self, now: float, policy_now: float) -> None:
        """Evaluate all servers when EVALUATION_INTERVAL_S has passed.

        Args:
            now: The current time by the detector's clock.
            policy_now: The current time by the clock of `routing`.
        """
        elapsed = now - self._evaluated_at
        if 0.0 <= elapsed < EVALUATION_INTERVAL_S:
            return
        elapsed, self._evaluated_at = min(max(elapsed, 0.0), VERDICT_MAX_AGE_S), now
        servers = {server.id: server for server in (*self.endpoints.edge_caches, *self.endpoints.parents)}
        for server_id in [
            server_id for server_id, evidence in self.evidence.items() if servers.get(server_id) is not evidence.server
        ]:
            del self.evidence[server_id]
        median_ratios = {
            True: median_limit_ratio(self.endpoints.edge_caches),
            False: median_limit_ratio(self.endpoints.parents),
        }
        for server_id, server in servers.items():
            evidence = self.evidence.setdefault(
                server_id, Evidence(server, previous_answer_at=server.last_answer_at, had_failed=server.has_failed)
            )
            self._update_evidence(evidence, median_ratios[self._is_cache(server)], elapsed, now, policy_now)
        self.peer_verdicts.expire(servers, now)
        self._update_own_health()
        self._apply_verdicts(now, policy_now)

    def reload(self) -> None:
        """Use the roster that the detector has loaded; routers that left it are no witnesses any more."""
        self.peer_verdicts.retain_witnesses(self.detector.roster.entries)

    # Datagram payloads.

    def payload(self, to: str) -> bytes:
        """Return the encoded verdicts that a peer needs; empty while this router is unhealthy."""
        if self.is_unhealthy:
            return b""
        now = self._evaluated_at
        sendable = [evidence for evidence in self.evidence.values() if self._should_send(evidence, to, now)]
        own_verdicts = [
            Verdict(
                evidence.server.id,
                evidence.health,
                round(min(evidence.amount, verdicts.MAX_AMOUNT_OR_AGE), 3),
                round(now - evidence.observed_at, 2),
            )
            for evidence in sendable
        ]
        if len(own_verdicts) > verdicts.MAX_VERDICTS:
            # Each datagram carries a random sample, so that after a mass failure several together carry all verdicts.
            count = len(own_verdicts)
            own_verdicts = [
                own_verdicts[int(self.detector.random_source.draw() * count)] for _ in range(verdicts.MAX_VERDICTS)
            ]
        return verdicts.encode(own_verdicts)

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Store the verdicts in a peer's payload that concern this router's servers."""
        try:
            received = verdicts.decode(data)
        except DatagramError:
            self.unreadable_count += 1
            return
        for verdict in received:
            if verdict.server in self.evidence and verdict.age <= VERDICT_MAX_AGE_S:
                self.peer_verdicts.record(name, verdict, now)

    def report_fields(self, now: float) -> dict[str, object]:
        """Return the fields of the report: own evidence, and counts of other routers' verdicts by server."""
        by_server = sorted(self.peer_verdicts.by_server.items())[:MAX_REPORTED_SERVERS]
        return {
            "sick": self.is_unhealthy,
            "sick_fellows": sorted(self._unhealthy_witnesses())[:MAX_REPORTED_WITNESSES],
            "acted": self.applied_count,
            "unreadable": self.unreadable_count,
            "machines": {
                f"s-{server_id:08x}": {
                    "own": HEALTH_NAMES[self.evidence[server_id].health],
                    "under": self.evidence[server_id].is_overridden(now),
                    **{
                        HEALTH_NAMES[health]: sum(
                            observation.verdict.health == health for observation in observations.values()
                        )
                        for health in Health
                    },
                }
                for server_id, observations in by_server
                if server_id in self.evidence
            },
        }

    # Evidence of this router.

    def _update_evidence(
        self, evidence: Evidence, median_ratio: float, elapsed: float, now: float, policy_now: float
    ) -> None:
        """Update one server's evidence, and send a changed verdict at once."""
        previous_health = evidence.health
        evidence.update(median_ratio, elapsed, now, policy_now)
        if evidence.health != previous_health and not self.is_unhealthy:
            self._log("server_health", server=f"{evidence.server.id:08x}", health=HEALTH_NAMES[evidence.health])
            self._push(evidence.server, now)

    def _push(self, server: Server, now: float) -> None:
        """Send a datagram to each router that uses the server, in random order, as far as the rate limit allows."""
        recipients = [name for name in self.detector.members if self._uses_server(name, server)]
        for name in shuffle(self.detector.random_source, recipients):
            if not self._pushes.take(1, now):
                return
            self.detector.send(name, MessageKind.HELLO, 0, now)

    def _should_send(self, evidence: Evidence, to: str, now: float) -> bool:
        """Return whether a peer needs this evidence.

        A peer needs fresh evidence on the servers that it uses. Evidence that a server is healthy is sent only if a
        verdict on that server was received.
        """
        server_id = evidence.server.id
        if evidence.health == Health.HEALTHY and server_id not in self.peer_verdicts.by_server:
            return False
        return self._uses_server(to, evidence.server) and 0.0 <= now - evidence.observed_at <= VERDICT_MAX_AGE_S

    def _uses_server(self, name: str, server: Server) -> bool:
        """Return whether a router may send requests to the server, by its zone."""
        entry = self.detector.roster.entries.get(name)
        return entry is not None and (not self._is_cache(server) or entry.zone == self.detector.roster.local.zone)

    def _is_cache(self, server: Server) -> bool:
        """Return whether the server is a cache of the location and not a parent."""
        return server.kind != self.endpoints.parent_kind

    # Detection of unhealthy routers.

    def _update_own_health(self) -> None:
        """Update whether this router is unhealthy.

        It is where it finds most of its servers faulty and other routers find most of those healthy.
        """
        faulty = [server_id for server_id, evidence in self.evidence.items() if evidence.health != Health.HEALTHY]
        healthy_to_others = [server_id for server_id in faulty if self.peer_verdicts.is_healthy_to_others(server_id)]
        is_unhealthy = (
            len(self.evidence) >= MIN_SERVERS_TO_DOUBT_ROUTER
            and 2 * len(faulty) > len(self.evidence)
            and 2 * len(healthy_to_others) > len(faulty)
        )
        if is_unhealthy != self.is_unhealthy:
            self.is_unhealthy = is_unhealthy
            event = "router_unhealthy" if is_unhealthy else "router_healthy"
            self._log(event, bad=len(faulty), healthy_to_others=len(healthy_to_others))

    def _unhealthy_witnesses(self) -> set[str]:
        """Return the witnesses whose verdicts are contradicted for more than half of the servers.

        A verdict that a server is not healthy is contradicted if this router, or at least MIN_WITNESSES other routers,
        find the server healthy.
        """
        if len(self.evidence) < MIN_SERVERS_TO_DOUBT_ROUTER:
            return set()
        contradicted_counts: dict[str, int] = {}
        for server_id, observations in self.peer_verdicts.by_server.items():
            evidence = self.evidence[server_id]
            own_age = self._evaluated_at - evidence.observed_at
            is_healthy_here = evidence.health == Health.HEALTHY and own_age <= OWN_EVIDENCE_MAX_AGE_S
            if is_healthy_here or self.peer_verdicts.is_healthy_to_others(server_id):
                for name, observation in observations.items():
                    is_contradicted = observation.verdict.health != Health.HEALTHY
                    contradicted_counts[name] = contradicted_counts.get(name, 0) + is_contradicted
        return {name for name, count in contradicted_counts.items() if 2 * count > len(self.evidence)}

    # Application of other routers' verdicts.

    def _apply_verdicts(self, now: float, policy_now: float) -> None:
        """Apply all verdicts on which enough witnesses agree, those with the most witnesses first."""
        ignored = self._unhealthy_witnesses()
        capacity = {is_cache: self._override_capacity(is_cache, now) for is_cache in (True, False)}
        agreements = [
            (server_id, self.peer_verdicts.find_agreement(server_id, ignored))
            for server_id in self.peer_verdicts.by_server
        ]
        faulty = [(server_id, agreement) for server_id, agreement in agreements if agreement.health != Health.HEALTHY]
        for server_id, agreement in sorted(faulty, key=lambda item: (-len(item[1].observations), item[0])):
            evidence = self.evidence[server_id]
            is_cache, was_overridden = self._is_cache(evidence.server), evidence.is_overridden(now)
            if not was_overridden and capacity[is_cache] < 1 or not self._apply(evidence, agreement, now, policy_now):
                continue
            self.applied_count += 1
            if not was_overridden:
                capacity[is_cache] -= 1
                self._log(
                    "verdict_applied",
                    server=f"{server_id:08x}",
                    health=HEALTH_NAMES[agreement.health],
                    witnesses=len(agreement.observations),
                )
            if not was_overridden or agreement.health == Health.UNREACHABLE:
                evidence.overridden_at, evidence.override_health = now, agreement.health

    def _override_capacity(self, is_cache: bool, now: float) -> int:
        """Return how many more servers of a tier may come under an applied verdict."""
        tier = [evidence for evidence in self.evidence.values() if self._is_cache(evidence.server) is is_cache]
        return max(int(len(tier) * MAX_OVERRIDDEN_SHARE), 1) - sum(evidence.is_overridden(now) for evidence in tier)

    def _apply(self, evidence: Evidence, agreement: Agreement, now: float, policy_now: float) -> bool:
        """Change the server's state by an agreement; return False where nothing changes."""
        if agreement.health == Health.UNREACHABLE:
            return self._eject(evidence, agreement.observations, policy_now)
        if agreement.health == Health.RESTARTED:
            return self._restart(evidence.server, agreement.observations, now, policy_now)
        return self._lower_limit(evidence, agreement.observations)

    def _eject(self, evidence: Evidence, observations: list[Observation], policy_now: float) -> bool:
        """Eject a server for EJECTION_S.

        Returns:
            False where the server has failed here already, or own evidence is at least as new as the oldest verdict.
        """
        server = evidence.server
        if server.has_failed or evidence.observed_at >= min(observation.observed_at for observation in observations):
            return False
        server.consecutive_failures = max(server.consecutive_failures, 1.0)
        server.ejected_until = max(server.ejected_until, policy_now + EJECTION_S)
        if self.detector.random_source.draw() * self.endpoints.routers < MEAN_HEALTH_CHECKERS:
            self._check_health(server)
        return True

    def _restart(self, server: Server, observations: list[Observation], now: float, policy_now: float) -> bool:
        """Reset a server that witnesses saw restart.

        The MIN_WITNESSES-th latest of the starts that the witnesses saw becomes the server's start.

        Returns:
            False where this router knows of that restart, or finds the server failed itself.
        """
        starts = sorted(observation.observed_at - observation.verdict.amount for observation in observations)
        started = policy_now - (now - starts[-MIN_WITNESSES])
        if server.has_failed or server.started > started - VERDICT_MAX_AGE_S:
            return False
        server.reset(policy_now)
        server.started = started
        return True

    def _lower_limit(self, evidence: Evidence, observations: list[Observation]) -> bool:
        """Lower a slow server's concurrency limit to the median of the witnesses' amounts.

        Returns:
            False where the limit is lower already, or this router has enough recent answers of its own.
        """
        server = evidence.server
        if evidence.recent_answers >= MIN_ANSWERS_TO_IGNORE_SLOW:
            return False
        median_ratio = median_limit_ratio(
            self.endpoints.edge_caches if self._is_cache(server) else self.endpoints.parents
        )
        amounts = sorted(observation.verdict.amount for observation in observations)
        limit = amounts[len(amounts) // 2] * median_ratio * server.max_concurrency_limit
        if limit >= server.concurrency_limit:
            return False
        server.concurrency_limit = max(limit, MIN_LOWERED_LIMIT)
        return True
