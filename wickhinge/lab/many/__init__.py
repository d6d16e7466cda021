"""Runs a fleet of routers under injected faults: schedules are drawn from a seed, run, and checked against invariants.

The entry points are `schedule.draw` and `simulation.simulate`. The same schedule can run on a fleet in virtual time
(`simulation`; thousands of schedules in a minute) and on real processes that talk through relays (`harness`). The
checks in `invariants` use only what was sent and what each process logged; they query no router about its own state.
Tests, `bench` and `wickhinge lab many` use this package; routers do not.
"""
