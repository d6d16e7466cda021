"""Endpoint lists for times when the discovery service is unavailable.

Lists from other sources (stored, exchanged with other routers, static) are trusted less the older they are, and each
of their endpoints must pass health checks before it is trusted.

`controller.MembershipController` is the entry point. net/control/membership.py creates it if the options say
`discovery.mode: "on"`. The package never chooses a cache for a request: it supplies endpoints to the routing fleet and
says whether requests with effects may go to them (`Endpoint.is_verified`). It never overrules the live list, which is
the list of the discovery service in this run.

Modules without I/O: statement_table, probation, purge_gap, recent_purges, backoff, comparison, port, controller.
Formats of the file and of the wire: stored_list, list_exchange. Modules with I/O: endpoint_list_file,
list_exchange_tcp.
"""
