"""The parts of `routing` that this package reads and changes, as protocols."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol


class Server(Protocol):
    """A server's state in `routing`. Times are seconds by the clock of `routing`."""

    id: int
    kind: str
    weight: float
    started: float  # Time of the server's last known start.
    last_answer_at: float  # Time of the server's last answer.
    has_failed: bool
    consecutive_failures: float  # Failures since the last answer; some kinds of failure count as a fraction.
    ejected_until: float  # Time until which the server gets no requests.
    concurrency_limit: float  # Learned number of transfers that the server handles at full speed.
    max_concurrency_limit: float  # Number of transfers that the server should handle at full speed.
    tokens: float  # Seconds of work that may be sent during slow start; used where routers share the limit.
    pending_attempts: Collection[object]  # This router's requests in flight to the server.
    reported_transfers: float  # Requests in flight from other routers, as their tallies report them.

    def reset(self, now: float) -> None:
        """Forget the state that belongs to the server's last process, because it has restarted."""


class Endpoints(Protocol):
    """The endpoint list of `routing`."""

    edge_caches: list[Server]  # The caches of this router's zone.
    parents: list[Server]
    parent_kind: str | None
    routers: int  # Number of routers of the location.
    reporting_routers: int  # Number of other routers whose tallies are in use.


class SlowStartLimits(Protocol):
    """The limits of one tier's slow start."""

    overload_factor: float  # Multiple of a server's present capacity above which it is overloaded.
    window: float  # Length in seconds of the window in which the load is counted.


# Requests an immediate health check of a server.
CheckHealth = Callable[[Server], None]
