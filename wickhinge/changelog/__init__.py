"""An ordered log of purges and settings: ordered by replicas, handed down by relays, applied by routers.

Entered by `replica.Replica`, `relay.Relay` and `follower.Follower`, one of them a process. Each is told of time by
`tick` and of packets by `heard`, and answers with a list of effects (`effects`). None of them opens a socket or a file
or reads a clock. docs/notes/changelog.md says why it is as it is, and derives the bounds.

Deciding, without I/O: entries, log, echo, vouches, feed, relay; ordering, verdicts, sources, subscription, follower;
records, ballot, leadership, replica. Speaking: fields, messages, codec, snapshots.
"""
