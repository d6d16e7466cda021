"""When what is read now came: a bound that no standstill of the process can hide.

The process may stand still at any line, for 10 to 500 ms where others share its core. What it reads after that has lain
in its sockets meanwhile, and no timer tells so before the read. What does tell is the poll for events itself: what had
reached a socket before a poll began is among what that poll hands out, or what the next ones do while each is full. So
data that is read now came after the last poll began that left nothing over. Waits are short (`MAX_WAIT_S`); one that
ended in time was ended by what came, so that came as it ended; of one that ended late, nothing is known but when it
began.

Pure: told of polls, asked for times; all are seconds of the steady clock.
"""

from __future__ import annotations

MAX_EVENTS_PER_POLL = 8  # before the deadlines have their turn again; the kernel goes on in order
MAX_WAIT_S = 0.06  # seconds of one wait for events: what a standstill within it can hide
LATE_WAIT_S = 0.01  # seconds past its time from which a wait counts as late
STALL_S = 0.05  # seconds from one poll to the next, from which much may lie unread
PUNCTUAL_WAIT_S = 0.002  # seconds past its time within which one that brought nothing has asked the system
FRESH_POLL_S = 0.005  # seconds since the last poll that left nothing over, within which it need not be asked first


class Arrivals:
    """When what is read came, at the earliest."""

    def __init__(self, began: float, max_events: int = MAX_EVENTS_PER_POLL) -> None:
        """began: nothing can have come before; max_events: that one poll hands out."""
        self._max_events = max_events
        self.earliest_arrival_at = (
            began  # what the latest poll handed out, or any socket holds, came then at the earliest
        )
        self.handled_until = began  # all that came before this has been read and handled, without any doubt
        self.poll_ended_at = began  # when the latest poll did
        self.is_behind = False  # the process stood still, and what came meanwhile may not all have been read
        self._next_earliest_arrival_at = began  # the same as `arrived`, for what the next poll hands out
        self._next_handled_until = began  # the same as `settled`, once what the latest poll handed out is handled

    def needs_poll_before_wait(self, now: float) -> bool:
        """Whether it matters that a poll tells what lies there already from what comes while it waits."""
        return now - self._next_earliest_arrival_at > FRESH_POLL_S

    def record_poll(self, entered: float, returned: float, count: int) -> None:
        """A poll that does not wait handed out so many events."""
        self.is_behind |= entered - self.poll_ended_at > STALL_S
        self.earliest_arrival_at = self._next_earliest_arrival_at
        if 0 < count < self._max_events:
            # No event at all is no proof: a signal may have come, and the system was not asked.
            self._next_earliest_arrival_at = self._next_handled_until = entered
        self.poll_ended_at = returned

    def record_wait(self, entered: float, limit: float, returned: float, count: int, *, asked: bool) -> None:
        """A wait of up to `limit` seconds ended with so many events.

        asked: a poll just before it found none; else something may have come within FRESH_POLL_S before it began.
        """
        if count == self._max_events and not asked:
            self.record_poll(entered, returned, count)
            return
        took = returned - entered
        self.is_behind |= took > limit + LATE_WAIT_S or entered - self.poll_ended_at > STALL_S
        self.earliest_arrival_at = self._next_earliest_arrival_at = returned if took <= limit + LATE_WAIT_S else entered
        # One that a signal broke off past its time asks the system no more, and looks as if nothing had come.
        if 0 < count < self._max_events or not count and took <= limit + PUNCTUAL_WAIT_S:
            self._next_handled_until = entered
        self.poll_ended_at = returned

    def mark_handled(self) -> None:
        """What the latest poll handed out has been read."""
        self.is_behind &= self.handled_until == self._next_handled_until
        self.handled_until = self._next_handled_until
