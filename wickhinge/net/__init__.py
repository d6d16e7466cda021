"""The router on sockets: it transports and times requests, while wickhinge.routing makes all decisions."""
