"""Who is there when nobody says so: lists remembered, trusted less as they age, and proven by use.

Entered by `members.Members`, which net/control/membership.py makes where the settings say
`discovery.mode: "on"`. It never chooses a cache: it says which machines `decide.Fleet` is told of and
whether what has effects may go there (`Listing.trusted`). It never overrules the live list.

Deciding, without I/O: statements, trust, gap, backoff, compare. Speaking: remembered, siblings. Doing: keeper,
members.
"""
