"""State that all routers of a fleet share. Each kind has a bound that holds while datagrams are lost, doubled or late.

- `quota_lending.LendingLimiter` divides budgets among routers; each router has one. Its state is in `name_lease`,
  `quota_loans`, `budgets`, `quota_bucket` and `lending_peers`, its payload in `lending_payload`. Code that spends calls
  `take` or reads `share`; neither waits for a message. `slow_start_quota` tells `routing` this router's share of the
  limits of servers in slow start.
- `outlier_detection.OutlierDetector` applies other routers' verdicts on servers. `evidence` holds what this router
  observes itself, `peer_verdicts` what other routers observed, and `verdicts` is the payload.
- `request_tallies.RequestTallies` exchanges how many requests are in flight at each cache.

All parts decide without I/O. Their payloads are joined by `piggyback` and travel with the datagrams of a
`peers.detector.FailureDetector`. The bounds also hold while a router process is paused; docs/notes/peers.md has them as
formulas.
"""
