"""Every routing decision: pure modules, to which time and chance are arguments.

A front builds one Router for each instance from its settings (`wickhinge.settings.build_router`), gives it the endpoint
list by Endpoints.listed, purges by Purges.told, and each request by Router.take, which returns a RoutedRequest; then
come RoutedRequest.ended for an attempt, RoutedRequest.finish when the client has gone, Router.health_checked for health
checks. The decisions call out through RequestTransport (one a request) and Environment (one a router), both of
wickhinge/interface.py. Every call carries the time, in seconds.

Ordinary path, from gLRU: Router.take raises the object's count at part 0, RoutedRequest.look asks the cache on the
part's hash, a miss is filled from the parent on the object's hash, parts below the count are kept. The rest guards this
path.
"""
