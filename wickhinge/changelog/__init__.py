"""Replicated log of purges and settings.

Replicas put the entries in order, relays pass them on, and routers apply them. A process runs one of three endpoints,
`replica_endpoint`, `relay_endpoint` or `follower_endpoint`. Each endpoint drives the state machine of its role:
`replica.Replica`, `relay.Relay` or `follower.Follower`. A state machine gets the time through `tick` and packets
through `receive`, and returns a list of effects (see `effects`); it opens no socket or file and reads no clock.
docs/notes/changelog.md gives the reasons for the design and derives the time bounds.

State machines, without I/O: entries, log, echo_tokens, confirmations, feed, relay; sequencer, dispute_records,
sources, subscription, follower; records, ballot, leadership, replica; addresses, proposals, settings_table. Encoding:
binary_fields, messages, message_codecs, codec, snapshots, record_blocks. Doing I/O: storage, endpoint and
its roles, administration, daemon.
"""
