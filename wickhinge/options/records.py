"""Typed records of the settings, one per subsystem, with the fields of schema.cue. Suffixes of the keys give units.

The directory docs/operate has a page on each subsystem that describes its settings for operators.
"""

from __future__ import annotations

import msgspec


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the store: copies of objects that the router itself keeps on disk."""

    mode: str
    dir: str
    size_mb: int
    segment_mb: int
    memory_mb: int
    objects: int  # Objects whose requests are counted; far more than those that are stored.
    waiting_mb: float  # Megabytes that may be queued for writing.
    write_mb_s: float
    read_within_s: float  # A disk read that takes longer counts as slow, and the request goes to the caches.
    reads_at_once: int  # Maximum number of concurrent disk reads.
    snapshot_s: float  # Interval between snapshots of the index.


class Journal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that describe the journal service, which announces endpoints and purges to routers."""

    continues: bool  # Whether the service continues its event numbers across restarts of a router.
    quiet_s: float  # Stored copies are served for this long after the service's last message.


class StaticServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A cache server of the fixed list in the settings."""

    id: str
    dial: str
    zone: str
    kind: str
    cell: int
    weight: float


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the sources of the endpoint list when a router starts without the journal service."""

    mode: str
    dir: str
    after_s: float  # How long a start waits for the live list before it uses another source.
    hint_after_s: float  # A list older than this is only a hint: its endpoints are checked before they are used.
    untold_s: float  # Maximum age of requested copies while the service is unreachable; 0 sets no maximum.
    writes_a_minute: float
    addresses: list[str]  # Further addresses of the journal service.
    backoff_s: float
    longest_backoff_s: float
    static: list[StaticServer]
    listen: str  # Address on which sibling routers may ask for the list; "" if they may not.
    siblings: list[str]
    key_file: str
    routers: int  # Routers that may start at the same moment; 0 takes the number of the platform's configuration.


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A roster entry: one router's name, address and zone."""

    name: str
    address: str
    zone: str


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the messages between the routers of a roster."""

    mode: str
    key_file: str
    also_key_file: str  # A key that opens received messages and never seals any.
    roster: list[Peer]


class Shared(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of what the routers of a roster share: quotas, verdicts on servers, and request counts."""

    mode: str
    names: int
    processes: int
    judgements: str
    counts: str


class ChangelogServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name and address of a replica or relay of the change log."""

    name: str
    address: str


class Changelog(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the change log, for routers, replicas, relays and operators' commands."""

    mode: str
    key_file: str
    also_key_file: str  # A key that opens received messages and never seals any.
    relays: list[ChangelogServer]
    replicas: list[ChangelogServer]
    bind: str
    grace_s: float
    bound_s: float
    ingest_s: float
    purge_horizon_s: float
    dir: str


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a settings file, defaults included."""

    store: Store
    journal: Journal
    discovery: Discovery
    peers: Peers
    shared: Shared
    changelog: Changelog
