"""Earlier claims about how costs grow, each with the recorded row that measured it."""

from __future__ import annotations

from dataclasses import dataclass

from bench.scale.records import RecordedRows


@dataclass(frozen=True, slots=True)
class Claim:
    """A value that was claimed before the runs, and the recorded row that measured it.

    Attributes:
        what: Description printed in the capacity page.
        before: The claimed value.
        row: Name of the recorded row.
        size: The size that the claim is about.
        unit: Unit of both values.
        factor: Converts the row's unit to the claim's unit.
    """

    what: str
    before: str
    row: str
    size: float
    unit: str
    factor: float = 1.0

    def measured(self, recorded: RecordedRows) -> float:
        return recorded[self.row].value_at(self.size) * self.factor

    def is_extrapolated(self, recorded: RecordedRows) -> bool:
        return recorded[self.row].is_extrapolated(self.size)


MICROSECONDS_PER_S = 1e6
KB_PER_BYTE = 1e-3
DETECTOR_CPU_ROW = "router.failure_detector.cpu"
DEATH_TIME_ROW = "router.death.time"
DETECTOR_BYTES_ROW = "router.failure_detector.bytes"

CLAIMS = (
    *(
        Claim(
            f"knowing {size} routers, with view and codec here",
            before,
            DETECTOR_CPU_ROW,
            size,
            "us/s",
            MICROSECONDS_PER_S,
        )
        for size, before in ((50, "73"), (100, "112"), (200, "188"), (400, "350"))
    ),
    Claim("memory of knowing 400", "421", "router.failure_detector.memory", 400, "KB", KB_PER_BYTE),
    *(
        Claim(f"others heard 15 s after a joint start of {size}", before, "router.joint_start.state", size, "routers")
        for size, before in ((100, "82 (0.83)"), (200, "86 (0.43)"), (400, "80 (0.20)"))
    ),
    *(
        Claim(f"a death is known, 99th percentile, {size}", before, DEATH_TIME_ROW, size, "s")
        for size, before in ((10, "3.1"), (50, "6.0"), (200, "8.6"), (500, "12.6"))
    ),
    *(
        Claim(f"bytes a router sends, {size}", before, DETECTOR_BYTES_ROW, size, "B/s")
        for size, before in ((50, "279"), (200, "306"), (500, "441"))
    ),
    Claim("all hear all again after a cut, 400", "bound 412 (12 + n)", "router.reunion.time", 400, "s"),
    Claim("a name lease's term, 1,600", "804", "router.name_lease_term.time", 1600, "s"),
    Claim("of a budget used by 2", "0.88", "router.lending_used.share", 2, "share"),
    Claim("of a budget used by 16", "0.76", "router.lending_used.share", 16, "share"),
    Claim("of a budget left for 1,600", "none (n / 120 goes)", "router.lending_usable.share", 1600, "share"),
    Claim("messages of one service to 1,600", "43,000", "list_service.watch.messages", 1600, "1/s"),
    Claim("an object's k in a full table", "250", "router.k.memory", 20_000, "B", 1 / 20_000),
)
