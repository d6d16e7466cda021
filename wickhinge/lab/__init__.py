"""Simulation of a fleet in virtual time: failures are given as data, and five rules are checked on the sent messages.

Its entry points are `simulation.Simulation` and the command `wickhinge lab`. A router in production imports none of it.

Modules without I/O: event_queue, service_queues, servers, simulation, rule_checker, stats. The module `scenario` reads
scenario files, `experiments` runs several simulations, and `records` and `report` write results.
"""
