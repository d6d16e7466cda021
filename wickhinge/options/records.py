"""What the settings become: one record a subsystem, field by field as in schema.cue, units in the names of the keys.

docs/operate has a page on each subsystem that says what its keys do.
"""

from __future__ import annotations

import msgspec


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The router's own copies on disk."""

    mode: str
    dir: str
    size_mb: int
    segment_mb: int
    memory_mb: int
    objects: int  # whose requests are counted, far more than are stored
    waiting_mb: float  # bytes that may wait to be written
    write_mb_s: float
    read_within_s: float  # a read that takes longer counts as slow, and the request goes to the caches
    reads_at_once: int
    snapshot_s: float


class Journal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The journal service."""

    continues: bool  # the service keeps its numbers across our restarts
    quiet_s: float  # own copies are still served so long after its last message


class StaticServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A cache server that the settings name."""

    id: str
    dial: str
    zone: str
    kind: str
    cell: int
    weight: float


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the endpoint list comes from at a start without the journal service."""

    mode: str
    dir: str
    after_s: float  # the live list is waited for so long
    hint_after_s: float  # past this age a list says only whom to ask
    untold_s: float  # 0, or the oldest copy asked for while the service cannot be reached
    writes_a_minute: float
    addresses: list[str]  # further ones of the journal service
    backoff_s: float
    longest_backoff_s: float
    static: list[StaticServer]
    listen: str  # where siblings are answered; "": nowhere
    siblings: list[str]
    key_file: str
    routers: int  # that may start at the same moment; 0: as the settings say


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A router of the roster."""

    name: str
    address: str
    zone: str


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Routers that know each other."""

    mode: str
    key_file: str
    also_key_file: str  # opens messages, never seals them
    roster: list[Peer]


class Shared(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What routers that know each other share."""

    mode: str
    names: int
    processes: int
    judgements: str
    counts: str


class ChangelogServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A replica or a relay of the change log."""

    name: str
    address: str


class Changelog(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The change log, for routers, replicas, relays and operators."""

    mode: str
    key_file: str
    also_key_file: str  # opens messages, never seals them
    relays: list[ChangelogServer]
    replicas: list[ChangelogServer]
    bind: str
    grace_s: float
    bound_s: float
    ingest_s: float
    purge_horizon_s: float
    dir: str


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A settings file."""

    store: Store
    journal: Journal
    discovery: Discovery
    peers: Peers
    shared: Shared
    changelog: Changelog
