"""A router with a fault planted in its tier, so that a check can be seen to fail: python -m bench.planted FAULT"""

from __future__ import annotations

import sys

from wickhinge.net.control.start import main
from wickhinge.store import segment_files
from wickhinge.store.purge_log import PurgeLog


def plant(fault: str) -> None:
    if fault == "checksums":
        segment_files.body_is_intact = lambda header, body, seed: len(body) == header.size
    elif fault == "purges":  # only their numbers are put down, as if all were well
        append = PurgeLog.append
        PurgeLog.append = lambda self, purges: append(self, [purge._replace(key=0, group=0) for purge in purges])
    elif fault in ("trust", "blind"):  # whatever a list names is as good as vouched for
        from wickhinge.membership.controller import MembershipController
        from wickhinge.membership.port import EndpointListing

        adopt = MembershipController.adopt_fallback_list

        def all_of_it(self, statements, source, age_s, now):
            adopt(self, statements, source, age_s, now)
            self.probation.clear()
            self._port.apply_listings(
                [EndpointListing(one, one.state, is_trusted=True) for one in self.statements.endpoints.values()]
            )

        MembershipController.adopt_fallback_list = all_of_it
    elif fault == "drains":
        from wickhinge.routing.endpoints import Endpoints

        update = Endpoints.update
        Endpoints.update = lambda self, listed, now, *, complete: update(
            self, [endpoint for endpoint in listed if endpoint.state != "draining"], now, complete=complete
        )
    else:
        raise SystemExit(f"no fault {fault}")


if __name__ == "__main__":
    plant(sys.argv[1])
    sys.exit(main())
