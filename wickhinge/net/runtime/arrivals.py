"""A lower bound on the time at which data that is read now arrived, even if the process was stalled in between.

The process may be stalled at any line, for 10 to 500 ms if others share its core. Data that it reads afterwards was in
its sockets during the stall, and no timer shows that before the read.

The poll for events does show it. An event that was pending before a poll began is returned by that poll, or by the
following ones as long as each returns as many events as it can. So data that is read now arrived after the start of the
last poll that returned all pending events.

While each poll returns as many events as it can, the kernel goes round the ready descriptors (epoll_wait(2), NOTES). So
polls that together return as many events as there are descriptors have returned all that were pending at their start.
Such polls are a round.

Waits for events are short (MAX_WAIT_S). A wait that ended in time was ended by the arrival itself, so the data arrived
at its end. Of a wait that ended late, only the start is known to precede the arrival.

This module makes no system calls; the event loop records its polls here. All times are seconds of the steady clock.
"""

from __future__ import annotations

# Events that one poll returns, so that deadlines are served in between; the kernel returns the others in order.
MAX_EVENTS_PER_POLL = 8
# Seconds that one wait for events lasts at most. A stall during a wait can stay hidden for as long.
MAX_WAIT_S = 0.06
# Seconds after its limit at which a wait that has not ended counts as late.
LATE_OVERRUN_S = 0.01
# Seconds between two polls from which on the process counts as stalled, so that much data may be unread.
STALL_THRESHOLD_S = 0.05
# Seconds after its limit within which a wait without events proves that the kernel had none. A later one may have been
# interrupted by a signal.
PUNCTUAL_OVERRUN_S = 0.002
# Seconds after the last poll that returned all pending events, within which a wait may begin without another poll.
FRESH_POLL_S = 0.005
# Seconds from which on a wait that ended with events shows that none were pending when it began.
MIN_IDLE_S = 0.0001


class Arrivals:
    """The earliest times at which unread data may have arrived, derived from the polls of the event loop.

    Attributes:
        earliest_arrival_at: Earliest arrival of the events of the latest poll, and of any data unread in a socket.
        handled_until: All data that arrived before this time has certainly been read and handled.
        poll_ended_at: Time at which the latest poll or wait ended.
        is_behind: Whether the process was stalled and data that arrived meanwhile may be unread.
        idle_at: Time at which the event loop last had no events to handle.
    """

    def __init__(self, started_at: float, max_events: int = MAX_EVENTS_PER_POLL) -> None:
        """Start with no data unread.

        Args:
            started_at: A time before which no data can have arrived.
            max_events: The number of events that one poll returns at most.
        """
        self._max_events = max_events
        self.earliest_arrival_at = started_at
        self.handled_until = started_at
        self.poll_ended_at = started_at
        self.is_behind = False
        self.idle_at = started_at
        # Value of earliest_arrival_at for the events of the next poll.
        self._next_earliest_arrival_at = started_at
        # Value of handled_until once the events of the latest poll are handled.
        self._next_handled_until = started_at
        # The start of the current round of full polls, and the events that are missing until it is complete.
        self._round_began_at = started_at
        self._round_missing = 0

    def needs_poll_before_wait(self, now: float) -> bool:
        """Return whether a poll is needed to tell pending events from those that arrive during the next wait."""
        return now - self._next_earliest_arrival_at > FRESH_POLL_S

    def record_poll(self, began_at: float, ended_at: float, count: int, watched: int | None = None) -> None:
        """Record a poll that did not wait.

        Args:
            began_at: Time at which it began.
            ended_at: Time at which it ended.
            count: Number of events that it returned.
            watched: Number of descriptors that it asked for; None if that is not known.
        """
        self.is_behind |= began_at - self.poll_ended_at > STALL_THRESHOLD_S
        self.earliest_arrival_at = self._next_earliest_arrival_at
        if 0 < count < self._max_events:
            # A poll without events proves nothing: a signal may have interrupted it before the kernel looked for
            # events.
            self._next_earliest_arrival_at = self._next_handled_until = began_at
        self._continue_round(began_at, count, watched)
        if not count:
            self.idle_at = ended_at
        self.poll_ended_at = ended_at

    def _continue_round(self, began_at: float, count: int, watched: int | None) -> None:
        """Count the events of a poll for the current round; a full poll begins one if there is none."""
        if count < self._max_events or watched is None:
            self._round_missing = 0
            return
        if self._round_missing <= 0:
            self._round_began_at, self._round_missing = began_at, watched
        self._round_missing -= count
        if self._round_missing <= 0:
            self._next_earliest_arrival_at = self._next_handled_until = self._round_began_at

    def record_wait(  # noqa: PLR0913  All of it is known of each wait.
        self,
        began_at: float,
        limit_s: float,
        ended_at: float,
        count: int,
        *,
        was_polled: bool,
        watched: int | None = None,
    ) -> None:
        """Record a wait for events.

        Args:
            began_at: Time at which it began.
            limit_s: Seconds that it should last at most.
            ended_at: Time at which it ended.
            count: Number of events that it returned.
            was_polled: Whether a poll just before found no events. Otherwise, data may have arrived up to FRESH_POLL_S
                before the wait began.
            watched: Number of descriptors that it asked for; None if that is not known.
        """
        if count == self._max_events and not was_polled:
            self.record_poll(began_at, ended_at, count, watched)
            return
        duration_s = ended_at - began_at
        self.is_behind |= duration_s > limit_s + LATE_OVERRUN_S or began_at - self.poll_ended_at > STALL_THRESHOLD_S
        self.earliest_arrival_at = self._next_earliest_arrival_at = (
            ended_at if duration_s <= limit_s + LATE_OVERRUN_S else began_at
        )
        # A wait that a signal interrupts after its limit does not ask the kernel again, and returns no events either
        # way.
        if 0 < count < self._max_events or not count and duration_s <= limit_s + PUNCTUAL_OVERRUN_S:
            self._next_handled_until = began_at
        if was_polled or not count or duration_s > MIN_IDLE_S:
            self.idle_at = ended_at
        self.poll_ended_at = ended_at

    def mark_handled(self) -> None:
        """Record that the events of the latest poll are handled."""
        self.is_behind &= self.handled_until == self._next_handled_until
        self.handled_until = self._next_handled_until
