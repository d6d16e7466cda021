"""Settings of the three roles. Durations in seconds by the process's own clock."""

from __future__ import annotations

import msgspec

MAX_TICK_INTERVAL_S = 0.05  # between two calls of `tick`, at most, for the bounds to hold
MAX_CLOCK_DRIFT = 0.06  # of any clock's rate against true time, at most


class FeedSettings(msgspec.Struct, frozen=True):
    """How a replica or a relay serves its subscribers."""

    batch_interval_s: float = 0.25  # between two batches of new entries
    heartbeat_interval_s: float = 0.5  # between two heartbeats where nothing is new
    max_batches_per_push: int = 8  # datagrams of new entries for each subscriber in one go
    catch_up_bytes_per_s: float = 2_000_000.0  # over all subscribers, for what was missed
    catch_up_burst_bytes: float = 200_000.0  # bytes
    max_messages_per_request: int = 8  # datagrams in answer to one request
    max_subscribers: int = 4096
    subscriber_expiry_s: float = 10.0  # a subscriber silent for so long is forgotten
    snapshot_cache_s: float = 30.0  # an encoded snapshot is handed out for so long


class FollowSettings(msgspec.Struct, frozen=True):
    """How a router follows relays, or a relay replicas."""

    bound_s: float = 3.1  # knowledge older than this makes the follower uninformed
    ingest_s: float = 0.5  # from a purge's stamp to its place at the replicas' majority, at most
    subscribe_interval_s: float = 1.0  # between two subscriptions, which are its heartbeats
    source_timeout_s: float = 1.5  # a source silent for so long is left
    max_lag_s: float = 0.7  # a source behind the secondary one for so long, or by so much, is left
    gap_wait_s: float = 0.06  # before what is missing is asked for; entries may come out of order
    fetch_timeout_s: float = 0.25  # before a request for missing entries is repeated, doubled each time
    max_fetch_timeout_s: float = 2.0
    secondary_rotation_s: float = 20.0  # between two changes of the secondary source
    return_delay_s: float = 5.0  # a preferred source is returned to after packets came from it for so long
    max_buffered_entries: int = 4096  # early entries, while others are missing before them
    dispute_valid_s: float = 4.0  # a digest compared with another source's counts for so long
    max_digests: int = 1024  # of the own log, remembered for comparing


class ReplicaSettings(msgspec.Struct, frozen=True):
    """How replicas elect a leader and copy the log."""

    heartbeat_interval_s: float = 0.1  # between two rounds of a leader
    election_timeout_s: float = 0.6  # silence before an election, up to twice as long by chance
    max_uncommitted: int = 8192  # proposals that wait for a majority; more are refused
    retain: int = 16384  # committed records, for slow replicas and for subscribers
    purge_horizon_s: float = 120.0
    feed: FeedSettings = FeedSettings(batch_interval_s=0.05, heartbeat_interval_s=0.25, max_subscribers=64)


class RelaySettings(msgspec.Struct, frozen=True):
    """How a relay follows replicas and serves routers."""

    retain: int = 16384
    purge_horizon_s: float = 120.0
    feed: FeedSettings = FeedSettings()
    follow: FollowSettings = FollowSettings(
        subscribe_interval_s=0.5, source_timeout_s=1.0, max_lag_s=0.5, fetch_timeout_s=0.15
    )
