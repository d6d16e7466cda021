"""A router with a fault planted in its tier, so that a check can be seen to fail: python -m bench.planted FAULT"""

from __future__ import annotations

import sys

from wickhinge.__main__ import main
from wickhinge.store import format
from wickhinge.store.volume import Volume


def plant(fault: str) -> None:
    if fault == "checksums":
        format.intact = lambda head, body, seed: len(body) == head.size
    elif fault == "purges":  # only their numbers are put down, as if all were well
        put_down = Volume.purge
        Volume.purge = lambda self, purges: put_down(self, [
            purge._replace(key=0, group=0) for purge in purges])
    else:
        raise SystemExit(f"no fault {fault}")


if __name__ == "__main__":
    plant(sys.argv[1])
    sys.exit(main())
