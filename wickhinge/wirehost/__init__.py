"""The simulator adapter: many routers in one process, which speak the simulator's JSON protocol.

`host.run` is the way in; `__main__` calls it with standard input and output. The adapter decides nothing, and routers
share nothing in it. Everything that a router's instance has requested or keeps belongs to its `HostedRouter`, and is
gone with it.
"""
