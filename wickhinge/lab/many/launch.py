"""A router whose clock runs wrong: python -m wickhinge.lab.many.launch '[[since, rate, ahead], ...]'

From each `since` on (seconds of the machine's clock since its start) the router's clock goes at `rate`, and is set
`ahead` by so many seconds at that moment. The product itself knows of none of this.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable


def faulty_clock(clock: Callable[[], float], turns: list[list[float]]) -> Callable[[], float]:
    def now() -> float:
        true = clock()
        told = true
        for since, rate, ahead in turns:
            if true >= since:
                until = min([one[0] for one in turns if one[0] > since] + [true])
                told += ahead + (rate - 1.0) * (until - since)
        return told

    return now


def main() -> int:
    from wickhinge.net.control import peer_transport
    from wickhinge.net.control.start import main as start

    peer_transport.clock = faulty_clock(peer_transport.clock, json.loads(sys.argv[1]))
    return start()


if __name__ == "__main__":
    sys.exit(main())
