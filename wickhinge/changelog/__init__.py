"""An ordered log of purges and settings: ordered by replicas, handed down by relays, applied by routers.

Entered by `nodes.ReplicaNode`, `nodes.RelayNode` and `nodes.FollowerNode`, one of them a process, each around the state
machine of its role (`replica.Replica`, `relay.Relay`, `follower.Follower`). A state machine is told of time by `tick`
and of packets by `heard`, and answers with a list of effects (`effects`); it opens no socket or file and reads no
clock. docs/notes/changelog.md says why it is as it is, and derives the bounds.

Deciding, without I/O: entries, log, echo_tokens, confirmations, feed, relay; sequencer, dispute_records, sources,
subscription, follower; records, ballot, leadership, replica; addresses, proposals. Encoding: binary_fields, messages,
codec, snapshots. Doing I/O: storage, nodes.
"""
