"""The simulator adapter: many routers in one process, which speak the simulator's JSON protocol."""
