"""Who is there when nobody says so: lists remembered, trusted less as they age, and proven by use.

Entered by `controller.Members`, which net/members.py makes where the settings say `discovery.mode: "on"`. It never
chooses a cache: it says which machines `decide.Fleet` is told of and whether what has effects may go there
(`Listing.trusted`). It never overrules the live list.

Deciding, without I/O: statement_table, probation, purge_gap, backoff, comparison, controller. Speaking: stored_list,
list_exchange. Doing: endpoint_list_file, list_exchange_tcp.
"""
