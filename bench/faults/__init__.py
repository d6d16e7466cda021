"""Fault injection for router processes: failing system calls and a stepped wall clock, by a preloaded library."""
