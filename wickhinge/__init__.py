"""wickhinge: a visit router for caches that fill from parents and an origin."""
