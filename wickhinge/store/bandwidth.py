"""The bandwidth of this router's own outbound link, shared by the copies that it answers with."""

from __future__ import annotations


class LinkBandwidth:
    """Predicts when a copy that is answered now has been transferred.

    Transfers pass one after the other, in the order of their answers. Called by `net.copies`.

    Attributes:
        flow_rate: Bytes a second that a single transfer gets at most.
        total_rate: Bytes a second of all transfers together.
        idle_at: When all transfers so far have passed, in seconds.
    """

    def __init__(self, flow_rate: float, total_rate: float) -> None:
        self.flow_rate = flow_rate
        self.total_rate = total_rate
        self.idle_at = 0.0

    def transfer_end(self, size: int, now: float) -> float:
        """When a transfer of so many bytes would end, in seconds."""
        return max(max(self.idle_at, now) + size / self.total_rate, now + size / self.flow_rate)

    def record_transfer(self, size: int, now: float) -> None:
        """Account for a transfer of so many bytes that begins now."""
        self.idle_at = max(self.idle_at, now) + size / self.total_rate
