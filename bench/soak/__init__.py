"""Soak test: real router processes under randomly drawn load, faults and signals, judged from outside.

The checks use only what the clients, the stand-in servers and the stand-in discovery service recorded.

    python -m bench.soak --seeds 50 --first 1 --jobs 4      # fifty seeds, four at once
    python -m bench.soak --seed 17                          # replays one seed
    python -m bench.soak --seed 17 --plant forgotten_reload # routers with a planted fault

`schedule` draws the events of a seed, `play` carries them out with `stand_ins`, `clients` and `routers`, and `judge`
reports which requirements were violated. The log of each router is kept beside the record of a failing seed, but no
check reads it.
"""
