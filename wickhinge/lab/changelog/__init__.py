"""A seeded random walk of replicas, relays and followers of the change log in virtual time.

Entered by `walk.walk`; `python -m wickhinge.lab.changelog.walk --help`. `schedule` draws what breaks when, `world` has
the network and the processes (`process`), `oracle` sees what was stored and applied and judges it, `planted_faults`
are put into the code for the walk to find. Used by tests; by no router.
"""
