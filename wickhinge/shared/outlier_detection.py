"""Outlier detection by several routers: evidence with a witness and an age, never an order.

A router tells what it saw itself, to its zone's routers of caches and to all of parents: at once where that changes,
and with each datagram that goes anyway. What it does with others' verdicts, and all that it does:

- Two witnesses at least, more than say the server is well, none of them unhealthy themselves, each verdict
  VERDICT_MAX_AGE_S old at most.
- UNREACHABLE: the server is ejected here for REST_S at a time while they say so, one failure of our own is enough, and
  some of us send it a health check at once. Its witnesses go on trying it, as `routing` does with what it lost.
- SLOW: what the server is believed to bear, beside its peers, is lowered to the median of what they say, where we have
  few answers of our own; it drifts back as every such belief does, and own answers move it from then on. Who was told
  says nothing of it himself, so that no verdict feeds on its echo.
- RESTARTED: a start that the endpoint list has not told, and we did not see, counts from when they saw it.
- At most MAX_EJECTED_SHARE of a location's caches (one at least), and of parents, stand under others' verdict at a
  time.

Who finds more than half of its servers bad that others find well has a bad network itself: its verdicts do not count,
here and, as it hears the same of itself, there. Nothing here waits or sends more than MAX_PUSHES_PER_S datagrams a
second. Without verdicts nothing is done at all: no router is worse than alone for want of them.
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
    EVALUATION_INTERVAL_S,
    LONG_AGO,
    OWN_EVIDENCE_MAX_AGE_S,
    REST_S,
    VERDICT_MAX_AGE_S,
    Evidence,
)
from wickhinge.shared.peer_verdicts import MIN_WITNESSES, Agreement, Observation, PeerVerdicts
from wickhinge.shared.ports import CheckHealth, Endpoints, Server
from wickhinge.shared.verdicts import HEALTH_NAMES, Health, Verdict

MAX_EJECTED_SHARE = 1 / 3  # of a location's caches, at most under others' verdict at a time
OWN_ANSWERS_SUFFICE = 6.0  # half of them forgotten each OWN_EVIDENCE_MAX_AGE_S, that go before others' verdict
MIN_SERVERS_TO_DOUBT_ROUTER = 3  # that must be judged before a router can be called unhealthy
HEALTH_CHECKERS = 3.0  # of the location's routers that check a server called unreachable, each evaluation
MAX_PUSHES_PER_S = 16.0  # datagrams that go only to tell of a change
MIN_FITNESS = 0.3  # that a server is lowered to
MAX_LISTED = 64  # servers in the figures
MAX_WITNESSES_LISTED = 16


def median_pace(servers: list[Server]) -> float:
    """The median of what servers bear of what they should; 1.0 for none."""
    return (
        sorted(server.concurrency_limit / server.max_concurrency_limit for server in servers)[len(servers) // 2]
        if servers
        else 1.0
    )


class OutlierDetector:
    """Weighs what other routers tell of servers against what we see ourselves.

    Attributes:
        evidence: Our own, by the server's id.
        peer_verdicts: The others'.
        is_unhealthy: Whether we ourselves are, by what the others say.
        applied_count: How often others' verdict changed something.
        unreadable: Payloads that could not be read.
    """

    def __init__(
        self,
        detector: FailureDetector,
        endpoints: Endpoints,
        check_health: CheckHealth,
        log: LogEvent = ignore_event,
    ) -> None:
        """Begin without evidence.

        Args:
            detector: Knows the peers, and carries the payloads.
            endpoints: The endpoint list.
            check_health: Called with a server that is to get a health check at once.
            log: Called with an event and its fields.
        """
        self.detector = detector
        self.endpoints = endpoints
        self.evidence: dict[int, Evidence] = {}
        self.peer_verdicts = PeerVerdicts()
        self.is_unhealthy = False
        self.applied_count = 0
        self.unreadable = 0
        self._check_health = check_health
        self._log = log
        self._evaluated_at = LONG_AGO
        self._pushes = TokenBucket(MAX_PUSHES_PER_S, MAX_PUSHES_PER_S, 0.0, tokens=MAX_PUSHES_PER_S)

    def tick(self, now: float, policy_now: float) -> None:
        """Evaluate all servers where that is due.

        Args:
            now: The detector's time.
            policy_now: The time by which `routing` counts.
        """
        elapsed = now - self._evaluated_at
        if 0.0 <= elapsed < EVALUATION_INTERVAL_S:
            return
        elapsed, self._evaluated_at = min(max(elapsed, 0.0), VERDICT_MAX_AGE_S), now
        servers = {server.id: server for server in (*self.endpoints.edge_caches, *self.endpoints.parents)}
        for mark in [mark for mark, own in self.evidence.items() if servers.get(mark) is not own.server]:
            del self.evidence[mark]
        paces = {True: median_pace(self.endpoints.edge_caches), False: median_pace(self.endpoints.parents)}
        for mark, server in servers.items():
            own = self.evidence.setdefault(
                mark, Evidence(server, last_answer_at=server.last_answer_at, was_lost=server.has_failed)
            )
            self._update_evidence(own, paces[self._is_cache(server)], elapsed, now, policy_now)
        self.peer_verdicts.expire(servers, now)
        self._update_own_health()
        self._apply_verdicts(now, policy_now)

    def reload(self) -> None:
        """Take the detector's other roster: who left is no witness."""
        self.peer_verdicts.keep_witnesses(self.detector.roster.entries)

    # Datagrams.

    def payload(self, to: str) -> bytes:
        """What to tell that peer: evidence that is fresh, and bad or asked for."""
        if self.is_unhealthy:
            return b""
        now = self._evaluated_at
        tellable = [own for own in self.evidence.values() if self._is_tellable(own, to, now)]
        own_verdicts = [
            Verdict(
                own.server.id,
                own.health,
                round(min(own.amount, verdicts.MAX_SECONDS), 3),
                round(now - own.observed_at, 2),
            )
            for own in tellable
        ]
        if len(own_verdicts) > verdicts.MAX_VERDICTS:  # by chance: a storm is told over some datagrams
            count = len(own_verdicts)
            own_verdicts = [
                own_verdicts[int(self.detector.random_source.draw() * count)] for _ in range(verdicts.MAX_VERDICTS)
            ]
        return verdicts.encode(own_verdicts)

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Take in a peer's verdicts on our servers."""
        try:
            received = verdicts.decode(data)
        except DatagramError:
            self.unreadable += 1
            return
        for verdict in received:
            if verdict.server in self.evidence and verdict.age <= VERDICT_MAX_AGE_S:
                self.peer_verdicts.record(name, verdict, now)

    def report_fields(self, now: float) -> dict[str, object]:
        """For operators: our own verdicts, and the others'."""
        by_server = sorted(self.peer_verdicts.by_server.items())[:MAX_LISTED]
        return {
            "sick": self.is_unhealthy,
            "sick_fellows": sorted(self._unhealthy_witnesses())[:MAX_WITNESSES_LISTED],
            "acted": self.applied_count,
            "unreadable": self.unreadable,
            "machines": {
                f"s-{mark:08x}": {
                    "own": HEALTH_NAMES[self.evidence[mark].health],
                    "under": self.evidence[mark].is_overridden(now),
                    **{
                        HEALTH_NAMES[health]: sum(
                            observation.verdict.health == health for observation in observations.values()
                        )
                        for health in Health
                    },
                }
                for mark, observations in by_server
                if mark in self.evidence
            },
        }

    # Our own evidence.

    def _update_evidence(self, own: Evidence, pace: float, elapsed: float, now: float, policy_now: float) -> None:
        before = own.health
        own.update(pace, elapsed, now, policy_now)
        if own.health != before and not self.is_unhealthy:
            self._log("server_health", server=f"{own.server.id:08x}", health=HEALTH_NAMES[own.health])
            self._push(own.server, now)

    def _push(self, server: Server, now: float) -> None:
        """Tell those whom it concerns at once, in random order, as far as the rate allows."""
        concerned = [name for name in self.detector.members if self._concerns(name, server)]
        for name in shuffle(self.detector.random_source, concerned):
            if not self._pushes.take(1, now):
                return
            self.detector.send(name, MessageKind.HELLO, 0, now)

    def _is_tellable(self, own: Evidence, to: str, now: float) -> bool:
        mark = own.server.id
        if own.health == Health.HEALTHY and mark not in self.peer_verdicts.by_server:
            return False  # nobody asks
        return self._concerns(to, own.server) and 0.0 <= now - own.observed_at <= VERDICT_MAX_AGE_S

    def _concerns(self, name: str, server: Server) -> bool:
        """Whether that router may send requests to the server."""
        place = self.detector.roster.entries.get(name)
        return place is not None and (not self._is_cache(server) or place.zone == self.detector.roster.local.zone)

    def _is_cache(self, server: Server) -> bool:
        """Whether it is a cache of our location, and no parent."""
        return server.kind != self.endpoints.parent_kind

    # Unhealthy routers.

    def _update_own_health(self) -> None:
        bad = [mark for mark, own in self.evidence.items() if own.health != Health.HEALTHY]
        healthy_to_others = [mark for mark in bad if self.peer_verdicts.is_healthy_to_others(mark)]
        is_unhealthy = (
            len(self.evidence) >= MIN_SERVERS_TO_DOUBT_ROUTER
            and 2 * len(bad) > len(self.evidence)
            and 2 * len(healthy_to_others) > len(bad)
        )
        if is_unhealthy != self.is_unhealthy:
            self.is_unhealthy = is_unhealthy
            event = "router_unhealthy" if is_unhealthy else "router_healthy"
            self._log(event, bad=len(bad), healthy_to_others=len(healthy_to_others))

    def _unhealthy_witnesses(self) -> set[str]:
        """Who finds more than half of our servers bad that we, or two others, find well."""
        if len(self.evidence) < MIN_SERVERS_TO_DOUBT_ROUTER:
            return set()
        wrong_verdicts: dict[str, int] = {}
        for mark, observations in self.peer_verdicts.by_server.items():
            own = self.evidence[mark]
            own_age = self._evaluated_at - own.observed_at
            is_healthy_here = own.health == Health.HEALTHY and own_age <= OWN_EVIDENCE_MAX_AGE_S
            if is_healthy_here or self.peer_verdicts.is_healthy_to_others(mark):
                for name, observation in observations.items():
                    is_wrong = observation.verdict.health != Health.HEALTHY
                    wrong_verdicts[name] = wrong_verdicts.get(name, 0) + is_wrong
        return {name for name, count in wrong_verdicts.items() if 2 * count > len(self.evidence)}

    # Others' verdicts.

    def _apply_verdicts(self, now: float, policy_now: float) -> None:
        ignored = self._unhealthy_witnesses()
        capacity = {is_cache: self._ejection_capacity(is_cache, now) for is_cache in (True, False)}
        agreements = [(mark, self.peer_verdicts.agreement(mark, ignored)) for mark in self.peer_verdicts.by_server]
        bad = [(mark, agreement) for mark, agreement in agreements if agreement.health != Health.HEALTHY]
        for mark, agreement in sorted(bad, key=lambda item: (-len(item[1].observations), item[0])):
            own = self.evidence[mark]
            is_cache, was_overridden = self._is_cache(own.server), own.is_overridden(now)
            if not was_overridden and capacity[is_cache] < 1 or not self._apply(own, agreement, now, policy_now):
                continue
            self.applied_count += 1
            if not was_overridden:
                capacity[is_cache] -= 1
                self._log(
                    "verdict_applied",
                    server=f"{mark:08x}",
                    health=HEALTH_NAMES[agreement.health],
                    witnesses=len(agreement.observations),
                )
            if not was_overridden or agreement.health == Health.UNREACHABLE:
                own.overridden_at, own.override = now, agreement.health

    def _ejection_capacity(self, is_cache: bool, now: float) -> int:
        """How many more servers of a tier may come under others' verdict."""
        tier = [own for own in self.evidence.values() if self._is_cache(own.server) is is_cache]
        return max(int(len(tier) * MAX_EJECTED_SHARE), 1) - sum(own.is_overridden(now) for own in tier)

    def _apply(self, own: Evidence, agreement: Agreement, now: float, policy_now: float) -> bool:
        """Change what is believed of the server; False where nothing changes."""
        if agreement.health == Health.UNREACHABLE:
            return self._eject(own, agreement.observations, policy_now)
        if agreement.health == Health.RESTARTED:
            return self._restart(own.server, agreement.observations, now, policy_now)
        return self._slow_down(own, agreement.observations)

    def _eject(self, own: Evidence, observations: list[Observation], policy_now: float) -> bool:
        server = own.server
        if server.has_failed or own.observed_at >= min(observation.observed_at for observation in observations):
            return False
        server.consecutive_failures = max(server.consecutive_failures, 1.0)
        server.ejected_until = max(server.ejected_until, policy_now + REST_S)
        if self.detector.random_source.draw() * self.endpoints.routers < HEALTH_CHECKERS:
            self._check_health(server)
        return True

    def _restart(self, server: Server, observations: list[Observation], now: float, policy_now: float) -> bool:
        """Count the start by those who saw it: the latest of the starts that two at least agree on."""
        starts = sorted(observation.observed_at - observation.verdict.amount for observation in observations)
        started = policy_now - (now - starts[-MIN_WITNESSES])
        if server.has_failed or server.started > started - VERDICT_MAX_AGE_S:
            return False  # we know of that start, or see for ourselves
        server.reset(policy_now)
        server.started = started
        return True

    def _slow_down(self, own: Evidence, observations: list[Observation]) -> bool:
        server = own.server
        if own.answers >= OWN_ANSWERS_SUFFICE:
            return False
        pace = median_pace(self.endpoints.edge_caches if self._is_cache(server) else self.endpoints.parents)
        amounts = sorted(observation.verdict.amount for observation in observations)
        fitness = amounts[len(amounts) // 2] * pace * server.max_concurrency_limit
        if fitness >= server.concurrency_limit:
            return False
        server.concurrency_limit = max(fitness, MIN_FITNESS)
        return True
