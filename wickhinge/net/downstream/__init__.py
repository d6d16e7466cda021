"""Clients: their connections, the requests on them, and the answers."""
