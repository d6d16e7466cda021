"""The verdicts of other routers, by server and witness, and what enough of them agree on."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from wickhinge.shared.evidence import VERDICT_MAX_AGE_S
from wickhinge.shared.verdicts import Health, Verdict

MIN_WITNESSES = 2
MAX_SERVERS = 1024  # of which verdicts are held

# Which verdicts support a finding, in order of precedence. Who believes that a server just came back had lost it:
# where witnesses do not agree on that, it counts as unreachable.
SUPPORT = (
    (Health.RESTARTED, (Health.RESTARTED,)),
    (Health.UNREACHABLE, (Health.UNREACHABLE, Health.RESTARTED)),
    (Health.SLOW, (Health.SLOW,)),
)


class Observation(NamedTuple):
    """A verdict of another router."""

    observed_at: float  # by our clock
    verdict: Verdict


class Agreement(NamedTuple):
    """What enough witnesses say of a server, and their verdicts."""

    health: Health
    observations: list[Observation]


def count_healthy(observations: Iterable[Observation]) -> int:
    """How many find the server well."""
    return sum(observation.verdict.health == Health.HEALTHY for observation in observations)


class PeerVerdicts:
    """The latest verdict of each witness on each server.

    Attributes:
        by_server: By the server's id, then by witness.
    """

    def __init__(self) -> None:
        self.by_server: dict[int, dict[str, Observation]] = {}

    def record(self, witness: str, verdict: Verdict, now: float) -> None:
        """Take in a verdict, unless a later one of that witness is known."""
        if verdict.server not in self.by_server and len(self.by_server) >= MAX_SERVERS:
            return
        observed_at = now - verdict.age
        observations = self.by_server.setdefault(verdict.server, {})
        known = observations.get(witness)
        if known is None or observed_at >= known.observed_at:
            observations[witness] = Observation(observed_at, verdict)

    def expire(self, servers: Collection[int], now: float) -> None:
        """Forget what is old, and servers that are not listed any more."""
        for server in list(self.by_server):
            fresh = {
                witness: observation
                for witness, observation in self.by_server[server].items()
                if 0.0 <= now - observation.observed_at <= VERDICT_MAX_AGE_S
            }
            if fresh and server in servers:
                self.by_server[server] = fresh
            else:
                del self.by_server[server]

    def keep_witnesses(self, names: Collection[str]) -> None:
        """Forget the verdicts of all other witnesses."""
        for observations in self.by_server.values():
            for witness in set(observations) - set(names):
                del observations[witness]

    def is_healthy_to_others(self, server: int) -> bool:
        """Whether enough witnesses find it well."""
        return count_healthy(self.by_server.get(server, {}).values()) >= MIN_WITNESSES

    def agreement(self, server: int, ignored: Collection[str]) -> Agreement:
        """The verdict that enough witnesses share, more than find the server well; HEALTHY for none."""
        observations = [
            observation for witness, observation in self.by_server.get(server, {}).items() if witness not in ignored
        ]
        healthy = count_healthy(observations)
        for health, support in SUPPORT:
            supporting = [observation for observation in observations if observation.verdict.health in support]
            if len(supporting) >= MIN_WITNESSES and len(supporting) > healthy:
                return Agreement(health, supporting)
        return Agreement(Health.HEALTHY, [])
