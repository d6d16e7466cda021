"""Routers that know each other: who is there, since when, and how much of the fleet this router hears.

Entered by `detector.FailureDetector`, one a router: told of time by `tick`, of datagrams by `heard`, it answers with
datagrams to send and says what it believes by `view`. It never chooses a cache and knows nothing of requests; what
routers share (`shared`) and who owns what (`owner`) stand on it. docs/notes/peers.md says why it is as it is.

Deciding, without I/O: roster, peer_session (replays), identity (our own life), member_table (suspicions, news), prober,
health, detector. Speaking: messages, wire.
"""
