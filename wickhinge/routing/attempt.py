"""One attempt of a request, and what its outcome allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickhinge.interface import Outcome
from wickhinge.routing.server import Server

if TYPE_CHECKING:
    from wickhinge.routing.routed_request import RoutedRequest


NEVER_RAN = (
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.NOT_SENT,
    Outcome.SUPERSEDED,
    Outcome.MISS,
)  # others may have
PASSING = (Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.NOT_SENT)  # the same cache may well answer the next time
FINE = (Outcome.MISS, Outcome.NOT_MODIFIED, *PASSING)
REFUSED = (Outcome.OVERLOADED, Outcome.ERROR)
# The same source may fill the next time.
NOT_THE_SOURCE = (Outcome.MISS, Outcome.OVERLOADED, Outcome.CONNECTION_LOST, Outcome.NOT_SENT)


class Attempt:
    def __init__(self, visit: RoutedRequest, cache: Server, source: Server, held: bool, now: float) -> None:
        self.visit, self.cache, self.source, self.sent = visit, cache, source, now
        self.pending, self.outcome, self.held = True, None, held  # held: the source gives only what it holds
        self.far = source is not cache or cache not in visit.router.fleet.mine  # through the location's link
