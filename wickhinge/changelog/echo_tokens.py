"""Tokens that date received packets without comparing the clocks of two processes.

A process draws a token, sends it, and gets it back in packets of the receiver. A packet with an echoed token states the
delay between the arrival of the token and the sending of the packet. The packet was therefore sent no earlier than that
delay after the token was drawn.
"""

from __future__ import annotations

from collections import OrderedDict

from wickhinge.changelog.messages import UNKNOWN_AGE_MS
from wickhinge.changelog.settings import MAX_CLOCK_DRIFT

SESSION_BITS = 40  # Bits of a token that hold the session.
COUNTER_BITS = 24  # Bits of a token that hold the counter of tokens drawn in the session.
MAX_REMEMBERED_TOKENS = 64
# Converts a duration measured by another clock into one of this clock, given the drift of both clocks: the product is
# never too long, the quotient never too short.
CLOCK_RATE_FACTOR = (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)


class EchoTokenClock:
    """Source of tokens that dates the packets that echo them."""

    def __init__(self, session: int) -> None:
        """Create a source without tokens; `session` is the number in ProcessContext."""
        self._session = session % (1 << SESSION_BITS)
        self._counter = 0
        self._drawn_at: OrderedDict[int, float] = OrderedDict()

    def draw(self, now: float) -> int:
        """Return a new token, which is never 0, and remember when it was drawn."""
        self._counter = self._counter % ((1 << COUNTER_BITS) - 1) + 1
        token = self._session << COUNTER_BITS | self._counter
        self._drawn_at[token] = now
        if len(self._drawn_at) > MAX_REMEMBERED_TOKENS:
            self._drawn_at.popitem(last=False)
        return token

    def sent_after(self, echo: int, echo_delay_ms: int) -> float | None:
        """Return the earliest time, by this clock, at which a packet with the echoed token can have been sent.

        The result is None for a token that was not drawn here or is no longer remembered.
        """
        drawn_at = self._drawn_at.get(echo)
        return None if drawn_at is None else drawn_at + echo_delay_ms / 1000 * CLOCK_RATE_FACTOR


class ReceivedToken:
    """Latest token received from another process, to be echoed to it; `value` is 0 before the first token."""

    __slots__ = ("value", "received_at")

    def __init__(self) -> None:
        """Create a record without a token."""
        self.value = 0
        self.received_at = 0.0

    def record(self, token: int, now: float) -> None:
        """Record the token of a received packet; the token 0 means that the packet has none."""
        if token:
            self.value, self.received_at = token, now

    def delay_ms(self, now: float) -> int:
        """Return the time since the token arrived, rounded down, so that the receiver never dates a packet too late."""
        return max(int((now - self.received_at) * 1000), 0) if self.value else 0


def knowledge_age_ms(until: float | None, now: float) -> int:
    """Return the age of knowledge that is complete until `until`, rounded up.

    The result is UNKNOWN_AGE_MS if `until` is None or -inf, which both mean that nothing is known.
    """
    if until is None or until == float("-inf"):
        return UNKNOWN_AGE_MS
    return min(max(int((now - until) * 1000) + 1, 0), UNKNOWN_AGE_MS)


def complete_until(sent_after: float, reported_age_ms: int) -> float | None:
    """Return the time, by this clock, until which a packet's sender knew all changes; None if it reports no age."""
    return None if reported_age_ms == UNKNOWN_AGE_MS else sent_after - reported_age_ms / 1000 / CLOCK_RATE_FACTOR
