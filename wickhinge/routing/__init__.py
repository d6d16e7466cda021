"""All routing decisions. The modules do no I/O and read no clock: time and randomness are passed in.

A front, which is the network router or the simulator adapter, builds one Router per instance from its settings with
`wickhinge.settings.build_router`. It passes in endpoint lists by Endpoints.update, purges by Purges.record_purge, and
each request by Router.route, which returns a RoutedRequest. Later it reports the end of an attempt by
RoutedRequest.attempt_ended, a client's disconnection by RoutedRequest.finish, and the result of a health check by
Router.health_checked. Decisions are carried out through two interfaces of `wickhinge.interface`: one RequestTransport
per request and one Environment per router. Every call carries the current time in seconds.

The ordinary path of a request follows gLRU. ObjectCounts.record_request raises the object's count at part 0.
RoutedRequest.try_edge_cache asks the cache chosen by the hash of the part. A miss is filled from the parent chosen by
the hash of the object. Parts below the count are kept in the cache. All other code handles overload, failures, slow
start and purges around this path.
"""
