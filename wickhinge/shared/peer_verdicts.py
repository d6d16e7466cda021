"""The verdicts of other routers, by server and witness, and the verdicts on which enough witnesses agree."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from wickhinge.shared.evidence import VERDICT_MAX_AGE_S
from wickhinge.shared.verdicts import Health, Verdict

MIN_WITNESSES = 2
MAX_SERVERS = 1024  # Most servers whose verdicts are stored.

# The verdicts that count toward each finding; findings are tried in this order. A witness of a restart has lost the
# server before, so its verdict also counts toward "unreachable" where too few witnesses saw the restart.
SUPPORTING_VERDICTS = (
    (Health.RESTARTED, (Health.RESTARTED,)),
    (Health.UNREACHABLE, (Health.UNREACHABLE, Health.RESTARTED)),
    (Health.SLOW, (Health.SLOW,)),
)


class Observation(NamedTuple):
    """A verdict of another router, with its time."""

    observed_at: float  # Time of the witness's evidence, by the local clock.
    verdict: Verdict


class Agreement(NamedTuple):
    """The health on which enough witnesses agree, and the verdicts that support it."""

    health: Health
    observations: list[Observation]


def count_healthy(observations: Iterable[Observation]) -> int:
    """Return how many observations find the server healthy."""
    return sum(observation.verdict.health == Health.HEALTHY for observation in observations)


class PeerVerdicts:
    """The latest verdict of each witness on each server.

    Attributes:
        by_server: Observations by server id and then by the witness's name.
    """

    def __init__(self) -> None:
        self.by_server: dict[int, dict[str, Observation]] = {}

    def record(self, witness: str, verdict: Verdict, now: float) -> None:
        """Store a verdict, unless a later one of the same witness is stored already."""
        if verdict.server not in self.by_server and len(self.by_server) >= MAX_SERVERS:
            return
        observed_at = now - verdict.age
        observations = self.by_server.setdefault(verdict.server, {})
        stored = observations.get(witness)
        if stored is None or observed_at >= stored.observed_at:
            observations[witness] = Observation(observed_at, verdict)

    def expire(self, server_ids: Collection[int], now: float) -> None:
        """Forget verdicts older than VERDICT_MAX_AGE_S, and verdicts on all other servers than the given ones."""
        for server_id in list(self.by_server):
            fresh = {
                witness: observation
                for witness, observation in self.by_server[server_id].items()
                if 0.0 <= now - observation.observed_at <= VERDICT_MAX_AGE_S
            }
            if fresh and server_id in server_ids:
                self.by_server[server_id] = fresh
            else:
                del self.by_server[server_id]

    def retain_witnesses(self, names: Collection[str]) -> None:
        """Forget the verdicts of all witnesses except the named ones."""
        for observations in self.by_server.values():
            for witness in set(observations) - set(names):
                del observations[witness]

    def is_healthy_to_others(self, server_id: int) -> bool:
        """Return whether at least MIN_WITNESSES find the server healthy."""
        return count_healthy(self.by_server.get(server_id, {}).values()) >= MIN_WITNESSES

    def find_agreement(self, server_id: int, ignored: Collection[str]) -> Agreement:
        """Return the finding that enough witnesses share, if they outnumber those that find the server healthy.

        Args:
            server_id: The server.
            ignored: Names of witnesses whose verdicts do not count.

        Returns:
            The agreement; HEALTHY without observations where there is none.
        """
        observations = [
            observation for witness, observation in self.by_server.get(server_id, {}).items() if witness not in ignored
        ]
        healthy_count = count_healthy(observations)
        for health, supporting_healths in SUPPORTING_VERDICTS:
            supporting = [
                observation for observation in observations if observation.verdict.health in supporting_healths
            ]
            if len(supporting) >= MIN_WITNESSES and len(supporting) > healthy_count:
                return Agreement(health, supporting)
        return Agreement(Health.HEALTHY, [])
