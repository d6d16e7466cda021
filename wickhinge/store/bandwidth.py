"""Bandwidth of this router's own outbound link, which the responses from local copies share."""

from __future__ import annotations


class LinkBandwidth:
    """Model of the outbound link that predicts when the transfer of a copy would end.

    The model transfers copies one after the other, in the order in which the requests are answered.

    Attributes:
        transfer_bytes_per_s: Upper bound on the rate of a single transfer.
        link_bytes_per_s: Upper bound on the rate of all transfers together.
        busy_until: Time in seconds at which all transfers recorded so far have ended.
    """

    def __init__(self, transfer_bytes_per_s: float, link_bytes_per_s: float) -> None:
        self.transfer_bytes_per_s = transfer_bytes_per_s
        self.link_bytes_per_s = link_bytes_per_s
        self.busy_until = 0.0

    def transfer_end(self, size: int, now: float) -> float:
        """Return the time at which a transfer of `size` bytes would end if it began now."""
        return max(max(self.busy_until, now) + size / self.link_bytes_per_s, now + size / self.transfer_bytes_per_s)

    def record_transfer(self, size: int, now: float) -> None:
        """Account for a transfer of `size` bytes that begins now."""
        self.busy_until = max(self.busy_until, now) + size / self.link_bytes_per_s
