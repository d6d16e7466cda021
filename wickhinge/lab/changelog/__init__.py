"""Simulation of the change log's replicas, relays and followers in virtual time, with faults drawn from a seed.

Its entry points are the function `walk.walk` and the command `python -m wickhinge.lab.changelog.walk --help`. The
module `schedule` draws faults from a seed, `world` simulates the network and the processes, `process` holds the state
of one process, and `oracle` records what was stored and applied and checks the invariants. The module `planted_faults`
holds incorrect versions of the state machines, which the oracle must detect. Only tests and benchmarks use the package.
"""
