"""Freshness without comparing clocks: a token that is drawn here and comes back in the other side's packets.

A packet that echoes a token, and says that it did so a delay after the token came, was sent that delay after the token
was drawn, or later.
"""

from __future__ import annotations

from collections import OrderedDict

from wickhinge.changelog.messages import UNKNOWN_AGE_MS
from wickhinge.changelog.settings import MAX_CLOCK_DRIFT

SESSION_BITS = 40
COUNTER_BITS = 24
MAX_TOKENS = 64  # remembered
# A duration measured by another clock, times this, is no longer than the same duration by this clock; divided by
# this, it is no shorter.
CLOCK_RATE_FACTOR = (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)


class EchoTokenClock:
    """Draws tokens and dates the packets that echo them. `session`: as in ProcessContext."""

    def __init__(self, session: int) -> None:
        self._session = session % (1 << SESSION_BITS)
        self._count = 0
        self._drawn_at: OrderedDict[int, float] = OrderedDict()

    def draw(self, now: float) -> int:
        """A new token, never 0."""
        self._count = self._count % ((1 << COUNTER_BITS) - 1) + 1
        token = self._session << COUNTER_BITS | self._count
        self._drawn_at[token] = now
        if len(self._drawn_at) > MAX_TOKENS:
            self._drawn_at.popitem(last=False)
        return token

    def sent_after(self, echo: int, echo_delay_ms: int) -> float | None:
        """A time, by this clock, before which the packet was not sent. None for a token that is not ours or too old."""
        drawn_at = self._drawn_at.get(echo)
        return None if drawn_at is None else drawn_at + echo_delay_ms / 1000 * CLOCK_RATE_FACTOR


class ReceivedToken:
    """The latest token of another process, to be echoed to it. Its value is 0 where there is none."""

    __slots__ = ("value", "received_at")

    def __init__(self) -> None:
        self.value = 0
        self.received_at = 0.0

    def record(self, token: int, now: float) -> None:
        """Takes a packet's token, 0 for none."""
        if token:
            self.value, self.received_at = token, now

    def delay_ms(self, now: float) -> int:
        """How long ago the token came, rounded down: the packet must not seem younger than it is."""
        return max(int((now - self.received_at) * 1000), 0) if self.value else 0


def knowledge_age_ms(until: float | None, now: float) -> int:
    """The age of knowledge that is complete until `until`, rounded up; UNKNOWN_AGE_MS where there is none."""
    if until is None or until == float("-inf"):
        return UNKNOWN_AGE_MS
    return min(max(int((now - until) * 1000) + 1, 0), UNKNOWN_AGE_MS)


def complete_until(sent_after: float, reported_age_ms: int) -> float | None:
    """The time, by this clock, until which a packet's sender knew all. None where it does not say."""
    return None if reported_age_ms == UNKNOWN_AGE_MS else sent_after - reported_age_ms / 1000 / CLOCK_RATE_FACTOR
