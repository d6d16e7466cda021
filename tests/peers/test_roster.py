"""Rosters that cannot be used."""

import pytest

from wickhinge.peers.roster import Roster, RosterEntry, RosterError


@pytest.mark.parametrize(
    "names, local_name, reason", [("aab", "a", "twice"), ("ab", "c", "not in it"), ("", "a", "not in it")]
)
def test_roster_when_names_are_wrong_is_refused(names, local_name, reason):
    with pytest.raises(RosterError, match=reason):
        Roster([RosterEntry(name, ("127.0.0.1", 1), "z") for name in names], local_name)
