"""Settings of replicas, relays and followers. Durations are seconds of the process's own clock."""

from __future__ import annotations

import msgspec

MAX_TICK_INTERVAL_S = 0.05  # The time bounds of the change log hold if `tick` is called at least this often.
MAX_CLOCK_DRIFT = 0.06  # Largest assumed relative error of any clock's rate.


class FeedSettings(msgspec.Struct, frozen=True):
    """Settings for serving the subscribers of a replica or a relay."""

    batch_interval_s: float = 0.25  # Interval of batches of new entries.
    heartbeat_interval_s: float = 0.5  # Interval of heartbeats while there are no new entries.
    max_batches_per_push: int = 8  # Largest number of batches sent at one time to each subscriber.
    catch_up_bytes_per_s: float = 2_000_000.0  # Rate limit of all answers to requests for missed entries.
    catch_up_burst_bytes: float = 200_000.0  # Largest unused credit of the rate limit, in bytes.
    max_messages_per_request: int = 8  # Largest number of datagrams in the answer to one request.
    max_subscribers: int = 4096
    subscriber_expiry_s: float = 10.0  # Silence after which a subscriber is removed.
    snapshot_cache_s: float = 30.0  # Time for which an encoded snapshot is sent before a new one is made.


class FollowSettings(msgspec.Struct, frozen=True):
    """Settings for following a relay from a router, or a replica from a relay."""

    bound_s: float = 3.1  # A follower is uninformed if its knowledge is older than this.
    ingest_s: float = 0.5  # Longest time from the stamp of a purge until a majority of the replicas holds the purge.
    subscribe_interval_s: float = 1.0  # Interval of Subscribe messages, the heartbeats of a subscriber.
    source_timeout_s: float = 1.5  # Silence after which a source is replaced.
    max_lag_s: float = 0.7  # Lag behind the secondary source after which the current source is replaced.
    gap_wait_s: float = 0.06  # Wait for missing entries before requesting them, as datagrams may arrive out of order.
    fetch_timeout_s: float = 0.25  # First wait before a request is repeated; it doubles with each repetition.
    max_fetch_timeout_s: float = 2.0  # Longest wait before a request is repeated.
    secondary_rotation_s: float = 20.0  # Shortest time between two regular changes of the secondary source.
    return_delay_s: float = 5.0  # Time of uninterrupted packets after which a preferred source is followed again.
    max_buffered_entries: int = 4096  # Largest number of entries that are kept while earlier ones are missing.
    dispute_valid_s: float = 4.0  # Time for which the comparison with a source's digest counts.
    max_digests: int = 1024  # Largest number of digests of this process's log that are kept for comparisons.


class ReplicaSettings(msgspec.Struct, frozen=True):
    """Settings for electing a leader among the replicas and replicating the log."""

    heartbeat_interval_s: float = 0.1  # Interval of the messages of a leader to the other replicas.
    election_timeout_s: float = 0.6  # Silence before an election, drawn at random between this and twice this.
    max_uncommitted: int = 8192  # Proposals that may wait for a majority; further ones are refused.
    retain: int = 16384  # Committed records that are kept for slow replicas and for subscribers.
    purge_horizon_s: float = 120.0  # Time for which snapshots contain a purge.
    feed: FeedSettings = FeedSettings(batch_interval_s=0.05, heartbeat_interval_s=0.25, max_subscribers=64)


class RelaySettings(msgspec.Struct, frozen=True):
    """Settings for following replicas and serving routers."""

    retain: int = 16384  # Entries that are kept for subscribers.
    purge_horizon_s: float = 120.0  # Time for which snapshots contain a purge.
    feed: FeedSettings = FeedSettings()
    follow: FollowSettings = FollowSettings(
        subscribe_interval_s=0.5, source_timeout_s=1.0, max_lag_s=0.5, fetch_timeout_s=0.15
    )
