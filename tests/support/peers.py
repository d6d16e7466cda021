"""Rosters for tests."""

from wickhinge.peers.roster import RosterEntry


def roster_entries(count, zones=1):
    """Return entries for the routers n0, n1 and so on, assigned in turn to the zones z0, z1 and so on."""
    return [RosterEntry(f"n{index}", ("127.0.0.1", index + 1), f"z{index % zones}") for index in range(count)]
