"""One request on the simulator's wire, and the actions that the decisions about it become."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wickhinge.interface import AttemptParameters, RejectionReason
from wickhinge.routing.attempt import Attempt
from wickhinge.routing.routed_request import RoutedRequest

if TYPE_CHECKING:
    from wickhinge.wirehost.hosted_router import HostedRouter


class WireRequest:
    """The RequestTransport of one request.

    Attributes:
        host: The router that the request was sent to.
        ref: The request's reference on the wire.
        attempts: The request's attempts; the index of an attempt is its number on the wire.
        routed: The request as the router has it.
    """

    __slots__ = ("host", "ref", "attempts", "routed")

    def __init__(self, host: HostedRouter, ref: str) -> None:
        self.host, self.ref = host, ref
        self.attempts: list[Attempt] = []
        self.routed: RoutedRequest | None = None

    def forward(self, parameters: AttemptParameters) -> None:
        """Send an attempt to a server."""
        self.attempts.append(parameters.attempt)
        fields = {"ref": self.ref, "cache": parameters.server.id, "tryForMs": parameters.timeout * 1000.0}
        if parameters.source is None:
            self.host.add_action("Try", fields)
            return
        options = parameters.collapse | parameters.only_if_cached << 1 | parameters.revalidate << 3
        fields |= {"source": parameters.source.id, "admit": parameters.retention_rank, "opts": options}
        if parameters.max_age is not None:
            fields["howOldMs"] = parameters.max_age * 1000.0
        self.host.add_action("PullVia", fields)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel a pending attempt."""
        self.host.add_action("Abandon", {"ref": self.ref, "sendNo": self.attempts.index(attempt)})

    def reject(self, retry_after: float, reason: RejectionReason) -> None:
        """Answer that the request was rejected and that a retry is harmless."""
        self.host.add_action("Refuse", {"ref": self.ref, "waitMs": retry_after * 1000.0})
        self.close()

    def fail(self, reason: RejectionReason) -> None:
        """Answer that the request failed, without a promise about a retry."""
        self.host.add_action("DropRequest", {"ref": self.ref})
        self.close()

    def close(self) -> None:
        """Forget the request after its end, unless an attempt is pending whose end will refer to it."""
        if not any(attempt.is_pending for attempt in self.attempts):
            self.host.requests.pop(self.ref, None)
