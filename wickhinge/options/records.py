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


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    id: str
    dial: str
    zone: str
    kind: str
    cell: int
    weight: float


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    mode: str
    dir: str
    after_s: float  # so long the live list is waited for
    hint_after_s: float  # past this age a list says only whom to ask
    untold_s: float  # 0, or the oldest copy asked for while the service is not heard
    writes_a_minute: float
    addresses: list[str]  # further ones of the journal service
    backoff_s: float
    longest_backoff_s: float
    static: list[Machine]
    listen: str  # where siblings are answered; "": nowhere
    siblings: list[str]
    key_file: str
    routers: int  # that may start at the same moment; 0: as the settings say


class Fellow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    address: str
    zone: str


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    mode: str
    key_file: str
    also_key_file: str  # read, never written under
    roster: list[Fellow]


class Shared(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    mode: str
    names: int
    processes: int
    judgements: str
    counts: str


class ChangelogMachine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    address: str


class Changelog(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    mode: str
    key_file: str
    also_key_file: str  # read, never written under
    relays: list[ChangelogMachine]
    replicas: list[ChangelogMachine]
    bind: str
    grace_s: float
    bound_s: float
    ingest_s: float
    purge_horizon_s: float
    dir: str


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    store: Store
    journal: Journal
    discovery: Discovery
    peers: Peers
    shared: Shared
    changelog: Changelog
