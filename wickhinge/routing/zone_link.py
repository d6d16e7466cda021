"""The zone's network link, which all fills of its caches share."""

from __future__ import annotations

# Share of the reported load that counts as utilization. It is below 1 because a report also counts fills that have not
# started yet, and because bursts are short.
REPORTED_LOAD_SHARE = 0.35
# Field of a load report that holds the load of the zone's link.
ZONE_LINK_LOAD_FIELD = "x1"


class ZoneLink:
    """An estimate of the link's load, from the load reports of caches and this router's own fills.

    Attributes:
        pending_fills: Number of this router's attempts in progress that use the link.
        reported_load: Moving average of the load in the reports.
        fills_at_report: Moving average of `pending_fills` at the times of the reports.
    """

    def __init__(self, gain: float) -> None:
        """Create an estimate without load.

        Args:
            gain: Weight of one report in the moving averages.
        """
        self.gain = gain
        self.pending_fills = 0
        self.reported_load = 0.0
        self.fills_at_report = 0.0

    def observe_report(self, load: dict[str, float]) -> None:
        """Update the estimate from a cache's load report, which came with an answer or a health check."""
        if ZONE_LINK_LOAD_FIELD in load:
            self.reported_load += self.gain * (load[ZONE_LINK_LOAD_FIELD] - self.reported_load)
            self.fills_at_report += self.gain * (self.pending_fills - self.fills_at_report)

    def utilization(self) -> float:
        """Return the predicted utilization of the link with one more fill.

        Above 1, it is the factor by which a fill takes longer than on an idle link.
        """
        return REPORTED_LOAD_SHARE * (self.pending_fills + 1) * self.reported_load / max(self.fills_at_report, 1.0)
