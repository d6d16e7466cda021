"""Measured experiments; each program's last output line is one JSON object. Not part of a router."""
