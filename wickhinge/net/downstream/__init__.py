"""The client side of the router: the listener, client connections, and the requests on them."""
