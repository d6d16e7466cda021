"""A request router for caches that are filled from parents and an origin."""

__version__ = "0.2.0"
