"""What was known of growth before these runs, beside what they measured."""

from __future__ import annotations

from dataclasses import dataclass

from bench.scale.records import RecordedRows


@dataclass(frozen=True, slots=True)
class Claim:
    """A figure that was told before, and the recorded row at the size that it speaks of, times a factor."""

    what: str
    before: str
    row: str
    size: float
    unit: str
    factor: float = 1.0

    def measured(self, known: RecordedRows) -> float:
        return known[self.row].at(self.size) * self.factor

    def extrapolated(self, known: RecordedRows) -> bool:
        return known[self.row].extrapolated(self.size)


MICRO = 1e6
KILO = 1e-3
CPU = "router.failure_detector.cpu"
DEATH = "router.death.time"
SENT = "router.failure_detector.bytes"

CLAIMS = (
    *(
        Claim(f"knowing {size} routers, with view and codec here", before, CPU, size, "us/s", MICRO)
        for size, before in ((50, "73"), (100, "112"), (200, "188"), (400, "350"))
    ),
    Claim("memory of knowing 400", "421", "router.failure_detector.memory", 400, "KB", KILO),
    *(
        Claim(f"others heard 15 s after a joint start of {size}", before, "router.joint_start.state", size, "routers")
        for size, before in ((100, "82 (0.83)"), (200, "86 (0.43)"), (400, "80 (0.20)"))
    ),
    *(
        Claim(f"a death is known, 99th percentile, {size}", before, DEATH, size, "s")
        for size, before in ((10, "3.1"), (50, "6.0"), (200, "8.6"), (500, "12.6"))
    ),
    *(
        Claim(f"bytes a router sends, {size}", before, SENT, size, "B/s")
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
