"""How each mechanism's cost grows with the fleet, and what it amounts to at the design size.

`python -m bench.scale slopes --json` measures costs at several sizes and fits their growth; `--record NAME` keeps the
result in bench/records. `python -m bench.scale capacity` computes docs/CAPACITY.md from the records.
"""
