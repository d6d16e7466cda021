"""The front on sockets: it carries and times; every decision is made in wickhinge.routing."""
