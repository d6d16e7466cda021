"""Runs a router with a faulty clock: python -m wickhinge.lab.many.launch '[[since, rate, step], ...]'

From `since` on (seconds on the machine's boot-time clock), the router's clock runs at `rate`; at `since` it is also set
ahead by `step` seconds. The router's own code has no support for this: the clock function is replaced before the start.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable


def faulty_clock(clock: Callable[[], float], changes: list[list[float]]) -> Callable[[], float]:
    """Return a clock that follows `clock`, with the given changes (since, rate, step) in the order of their times."""

    def now() -> float:
        true_time = clock()
        faulty_time = true_time
        for since, rate, step in changes:
            if true_time >= since:
                until = min([change[0] for change in changes if change[0] > since] + [true_time])
                faulty_time += step + (rate - 1.0) * (until - since)
        return faulty_time

    return now


def main() -> int:
    from wickhinge.net.control import peer_transport
    from wickhinge.net.control.start import main as start

    peer_transport.clock = faulty_clock(peer_transport.clock, json.loads(sys.argv[1]))
    return start()


if __name__ == "__main__":
    sys.exit(main())
