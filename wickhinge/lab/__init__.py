"""The project's own laboratory: a fleet emulated in virtual time, failures as data, the five rules judged by what
really passed. Entered by `play.Play` and the command line `wickhinge lab`; no router that runs imports any of it.

Deciding and modelling, without I/O: wheel, stations, machines, clients, faults, judge, stats. Records: scenario.
"""
