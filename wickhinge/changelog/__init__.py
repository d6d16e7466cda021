"""An ordered log of purges and settings: ordered by replicas, handed down by relays, applied by routers.

Entered by `replica_endpoint`, `relay_endpoint` and `follower_endpoint`, one of them a process, each
around the state machine of its role (`replica.Replica`, `relay.Relay`, `follower.Follower`). A state machine is given
the time by `tick` and packets by `receive`, and answers with a list of effects (`effects`); it opens no socket or file
and reads no clock. docs/notes/changelog.md says why it is as it is, and derives the bounds.

State machines, without I/O: entries, log, echo_tokens, confirmations, feed, relay; sequencer, dispute_records,
sources, subscription, follower; records, ballot, leadership, replica; addresses, proposals, settings_table. Encoding:
binary_fields, messages, message_codecs, codec, snapshots, record_blocks. Doing I/O: storage, endpoint and
its roles, administration, daemon.
"""
