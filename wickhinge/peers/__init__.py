"""Routers that know each other: which are alive, since when, and how much of the fleet this router hears.

`detector.FailureDetector` is the entry, one a router: told of time by `tick` and of datagrams by `receive`, it sends
datagrams and tells what it believes by `view`. It never chooses a cache and knows nothing of requests; what routers
share (`shared`) stands on it. docs/notes/peers.md says why it is as it is.

Without I/O: roster, peer_session (replay window), identity (our own incarnation), member_table (suspicions, gossip),
prober, health, detector, status_server and status_client. Forms of the wire: messages, wire, status_messages.
"""
