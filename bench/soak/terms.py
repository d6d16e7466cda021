"""Bounds of the users' pages that several checks use."""

from __future__ import annotations

SOCKET_SLACK_S = 0.05  # PROTOCOL: each time limit is 50 ms longer on sockets
BUDGET_SLACK_S = 0.15  # the deadline passed on is at most what the client has left, 0.15 s of slack
