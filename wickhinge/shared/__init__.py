"""State that all routers of a fleet share, each kind with a bound that holds whatever is lost, doubled, late or paused.

Entered by `purse.Purse`, one a router, on a `peers.circle.Circle`, whose datagrams carry its words as riders. What
spends asks `Purse.take` or reads `Purse.share`, both without a message. docs/notes/peers.md has the bounds as formulas.

`cold.Colds` is what `policy` asks for its part of cold machines' limits.

Deciding, without I/O: vouch, loans, bucket, purse, cold. Speaking: riders.
"""
