"""A visit router for caches that fill from parents and an origin."""

__version__ = "0.2.0"
