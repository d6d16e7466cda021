"""Copies of our own: a memory tier over a tier on disk, for installations whose disk lasts.

Entered by `store.Store`, which net/upstream/local_copies.py makes where the settings say `store.mode: "on"`, and
asked by `decide` through it. It never decides that a copy answers a visit (decide.Visit.own does), never
waits for a disk in the reactor's thread, and never speaks to a network.

Deciding, without I/O: counts, keep, space, pace, breaker, purged, believe. Speaking: format. Doing: files, volume,
workers, store.
"""
