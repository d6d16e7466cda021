"""Allowances from the documentation that several checks of the soak test use."""

from __future__ import annotations

SOCKET_ALLOWANCE_S = 0.05  # PROTOCOL: over sockets, each time limit is 50 ms longer.
BUDGET_ALLOWANCE_S = 0.15  # A budget passed on may exceed the client's remaining time by up to 0.15 s.
