"""Building blocks that every other package may use; this package imports none of them."""
