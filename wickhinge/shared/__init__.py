"""State that all routers of a fleet share, each kind with a bound that holds whatever is lost, doubled, late or paused.

Entered by `lending.LendingLimiter`, one a router, on a `peers.detector.FailureDetector`, whose datagrams carry its
messages as riders. What spends asks `LendingLimiter.take` or reads `LendingLimiter.share`, both without a message.
docs/notes/peers.md has the bounds as formulas.

`cold.Colds` is what `policy` asks for its part of cold machines' limits.

Deciding, without I/O: name_lease, loans, bucket, lending, cold. Speaking: riders.
"""
