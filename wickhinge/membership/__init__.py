"""Endpoint lists without the discovery service: stored, trusted less as they age, and proven by use.

`controller.MembershipController` is the entry; net/control/membership.py makes it where the settings say
`discovery.mode: "on"`. It never chooses a cache: it says which endpoints `routing.Endpoints` is notified of and whether
requests with effects may go there (`Endpoint.is_verified`). It never overrules the live list.

Without I/O: statement_table, probation, purge_gap, recent_purges, backoff, comparison, controller. Formats of the file
and the wire: stored_list, list_exchange. I/O: endpoint_list_file, list_exchange_tcp.
"""
