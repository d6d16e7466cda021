"""A roster for tests."""

from wickhinge.peers.roster import RosterEntry


def roster_entries(count, zones=1):
    """So many routers n0, n1, ... in turn in the zones z0, z1, ..."""
    return [RosterEntry(f"n{index}", ("127.0.0.1", index + 1), f"z{index % zones}") for index in range(count)]
