"""One attempt of a request, and what its outcome allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickhinge.interface import Outcome
from wickhinge.routing.server import Server

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest

# The request never ran at the server.
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.SUPERSEDED, Outcome.MISS)
# The same cache may well answer the next time.
TRANSIENT = (Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.NOT_SENT)
# The cache itself has not failed.
CACHE_USABLE = (Outcome.MISS, Outcome.NOT_MODIFIED, *TRANSIENT)
REJECTED = (Outcome.OVERLOADED, Outcome.ERROR)
# The source of the fill did not cause it and may fill the next time.
SOURCE_NOT_AT_FAULT = (Outcome.MISS, Outcome.OVERLOADED, Outcome.CONNECTION_LOST, Outcome.NOT_SENT)


class Attempt:
    """One attempt: the server it went to, the source that fills a miss, and how it ended."""

    def __init__(
        self, request: RoutedRequest, server: Server, source: Server, now: float, *, only_if_cached: bool
    ) -> None:
        """Args: source: the server itself where nobody fills; only_if_cached: the source gives only what it has."""
        self.request, self.server, self.source, self.sent = request, server, source, now
        self.is_pending = True
        self.outcome: Outcome | None = None
        self.only_if_cached = only_if_cached
        is_local = server in request.router.endpoints.edge_caches
        self.uses_zone_link = source is not server or not is_local
