"""One attempt of a request, and what each outcome says about the server and the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickhinge.interface import Outcome
from wickhinge.routing.server import Server

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest

# Outcomes after which the server has certainly not executed the request.
NOT_EXECUTED_OUTCOMES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.SUPERSEDED, Outcome.MISS)
# Outcomes after which the same cache may well answer another attempt.
TRANSIENT_OUTCOMES = (Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.NOT_SENT)
# Outcomes that do not mean that the cache itself has failed.
CACHE_NOT_AT_FAULT_OUTCOMES = (Outcome.MISS, Outcome.NOT_MODIFIED, *TRANSIENT_OUTCOMES)
# Outcomes by which a server, or the origin behind it, refused the work.
REJECTION_OUTCOMES = (Outcome.OVERLOADED, Outcome.ERROR)
# Outcomes of a fill that its source did not cause, so that the source may be asked for another fill.
SOURCE_NOT_AT_FAULT_OUTCOMES = (Outcome.MISS, Outcome.OVERLOADED, Outcome.CONNECTION_LOST, Outcome.NOT_SENT)


class Attempt:
    """One attempt: the server it went to, the source that fills a miss, and how it ended."""

    def __init__(
        self, request: RoutedRequest, server: Server, source: Server, now: float, *, only_if_cached: bool
    ) -> None:
        """Create a pending attempt.

        Args:
            request: The request that the attempt belongs to.
            server: The server that the attempt goes to.
            source: The server that fills a miss; `server` itself if a miss is not to be filled.
            now: The time at which the attempt is sent.
            only_if_cached: Whether the source answers only from its cache.
        """
        self.request, self.server, self.source, self.sent_at = request, server, source, now
        self.is_pending = True
        self.outcome: Outcome | None = None
        self.only_if_cached = only_if_cached
        is_local = server in request.router.endpoints.edge_caches
        self.uses_zone_link = source is not server or not is_local
