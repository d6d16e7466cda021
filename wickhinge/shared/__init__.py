"""State that all routers of a fleet share, each kind with a bound that holds whatever is lost, doubled, late or paused.

- quota_lending.LendingLimiter, one a router, divides budgets: name_lease, quota_loans, budgets, quota_bucket and
  lending_peers hold its state, lending_payload its bytes. What spends asks `take` or reads `share`, both without a
  message. slow_start_quota is what `routing` asks for its part of the limits of servers in slow start.
- outlier_detection.OutlierDetector weighs what other routers tell of servers: evidence is what we see ourselves,
  peer_verdicts what the others saw, verdicts the bytes.
- request_tallies.RequestTallies exchanges how many requests are in flight at each cache.

All decide without I/O. Their messages go with the datagrams of a `peers.detector.FailureDetector`, joined by
`piggyback`. docs/notes/peers.md has the bounds as formulas.
"""
