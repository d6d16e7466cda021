"""Tests of rosters that are refused."""

import pytest

from wickhinge.peers.roster import Roster, RosterEntry, RosterError


@pytest.mark.parametrize(
    "names, local_name, reason",
    [("aab", "a", "a is listed twice"), ("ab", "c", "name c is not listed"), ("", "a", "name a is not listed")],
)
def test_roster_when_a_name_is_listed_twice_or_the_local_name_is_missing_is_refused(names, local_name, reason):
    with pytest.raises(RosterError, match=reason):
        Roster([RosterEntry(name, ("127.0.0.1", 1), "z") for name in names], local_name)
