"""The link of the zone, which all fills of its caches share."""

from __future__ import annotations

REPORTED_LOAD_SHARE = 0.35  # the report counts fills that still wait, and bursts soon pass
ZONE_LINK_LOAD_FIELD = "x1"  # of a load report: the load of the zone's link


class ZoneLink:
    """What is known of the link's load: reports of the caches, and this router's fills meanwhile."""

    def __init__(self, gain: float) -> None:
        """Args: gain: of one report, larger where few requests are seen."""
        self.gain = gain
        self.pending_fills = 0  # in progress from here
        self.reported_load = 0.0
        self.fills_at_report = 0.0

    def observe_report(self, load: dict[str, float]) -> None:
        """Take a cache's load report, from a health check or beside an answer."""
        if ZONE_LINK_LOAD_FIELD in load:
            self.reported_load += self.gain * (load[ZONE_LINK_LOAD_FIELD] - self.reported_load)
            self.fills_at_report += self.gain * (self.pending_fills - self.fills_at_report)

    def utilization(self) -> float:
        """Return how full the link is if one more fill comes; past 1 a fill takes so many times longer than alone."""
        return REPORTED_LOAD_SHARE * (self.pending_fills + 1) * self.reported_load / max(self.fills_at_report, 1.0)
