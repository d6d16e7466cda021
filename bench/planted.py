"""Start a router with a planted fault, to prove that a measurement detects the fault: python -m bench.planted FAULT

checksums     the disk tier does not verify the checksums of bodies
purges        the purge log records event numbers without the purged objects and groups
trust, blind  membership trusts all endpoints of a fallback list without proof
drains        routing receives no updates of endpoints that are draining
"""

from __future__ import annotations

import sys

from wickhinge.net.control.start import main
from wickhinge.store import segment_files
from wickhinge.store.purge_log import PurgeLog


def plant_fault(fault: str) -> None:
    """Replace a function of the router with a faulty one.

    Raises:
        SystemExit: The name of the fault is unknown.
    """
    if fault == "checksums":
        segment_files.body_is_intact = lambda header, body, seed: len(body) == header.size
    elif fault == "purges":
        append = PurgeLog.append
        PurgeLog.append = lambda self, purges: append(self, [purge._replace(key=0, group=0) for purge in purges])
    elif fault in ("trust", "blind"):
        from wickhinge.membership.controller import MembershipController
        from wickhinge.membership.port import EndpointListing

        adopt = MembershipController.adopt_fallback_list

        def adopt_and_trust_list(self, statements, source, age_s, now):
            adopt(self, statements, source, age_s, now)
            self.probation.clear()
            self._port.apply_listings(
                [
                    EndpointListing(statement, statement.state, is_trusted=True)
                    for statement in self.statements.endpoints.values()
                ]
            )

        MembershipController.adopt_fallback_list = adopt_and_trust_list
    elif fault == "drains":
        from wickhinge.routing.endpoints import Endpoints

        update = Endpoints.update
        Endpoints.update = lambda self, listed, now, *, complete: update(
            self, [endpoint for endpoint in listed if endpoint.state != "draining"], now, complete=complete
        )
    else:
        raise SystemExit(f"unknown fault {fault}")


if __name__ == "__main__":
    plant_fault(sys.argv[1])
    sys.exit(main())
