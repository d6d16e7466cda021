"""What the settings become: one record a subsystem, its units in the names of the keys."""

from __future__ import annotations

import msgspec


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    mode: str
    dir: str
    size_mb: int
    segment_mb: int
    memory_mb: int
    objects: int  # counted, far more than are stored
    waiting_mb: float  # bytes that may wait to be written
    write_mb_s: float
    read_within_s: float  # a read that takes longer counts as slow, and the visit goes the ordinary path
    reads_at_once: int
    snapshot_s: float


class Journal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    continues: bool  # the service keeps its numbers across our restarts
    quiet_s: float  # so long after its last word copies of our own still answer


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    store: Store
    journal: Journal
