"""Membership protocol of the routers: which peers are alive, since when, and how much of the fleet reaches this router.

`detector.FailureDetector` is the interface of this package; each router has one. The caller passes it the time with
`tick` and received datagrams with `receive`; it sends datagrams through a callback and returns the state of the fleet
with `view`. It takes no part in routing requests. The package `shared`, in which routers share quotas and verdicts,
sends its data with the detector's datagrams. docs/notes/peers.md gives the reasons for the design.

No module here performs I/O. Protocol logic: roster (names, addresses and zones), peer_session (replay window), identity
(this router's own incarnation), member_table (suspicions and gossip), prober, health (local health), detector,
status_server and status_client. Wire formats: messages, wire and status_messages.
"""
