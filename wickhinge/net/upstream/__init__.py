"""Servers: connections to caches, parents and the origin, and the attempts sent on them."""
