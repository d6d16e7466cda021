"""When what is read now came: a bound that no standstill of the process can hide.

The process may stand still at any line, for 10 to 500 ms where others share its core. What it reads after that has lain
in its sockets meanwhile, and no timer tells so before the read. What does tell is the poll for events itself: what had
reached a socket before a poll began is among what that poll hands out, or what the next ones do while each is full. So
data that is read now came after the last poll began that left nothing over. Waits are short (`LONGEST_WAIT`); one that
ended in time was ended by what came, so that came as it ended; of one that ended late, nothing is known but when it
began.

Pure: told of polls, asked for times; all are seconds of the steady clock.
"""

from __future__ import annotations

LONGEST_WAIT = 0.06  # seconds of one wait for events: what a standstill within it can hide
OVERDUE = 0.01  # seconds past its time from which a wait counts as late
STOOD_STILL = 0.05  # seconds from one poll to the next, from which much may lie unread
ON_TIME = 0.002  # seconds past its time within which one that brought nothing has asked the system
SOON = 0.005  # seconds since the last poll that left nothing over, within which it need not be asked first


class Arrivals:
    def __init__(self, began: float) -> None:
        """began: nothing can have come before."""
        self.arrived = began  # what the latest poll handed out, or any socket holds, came then at the earliest
        self.settled = began  # all that came before this has been read and handled, without any doubt
        self.returned = began  # when the latest poll did
        self.behind = False  # the process stood still, and what came meanwhile may not all have been read
        self._left_nothing = began  # the same as `arrived`, for what the next poll hands out
        self._settles = began  # the same as `settled`, once what the latest poll handed out is handled

    def uncertain(self, now: float) -> bool:
        """Whether it matters that a poll tells what lies there already from what comes while it waits."""
        return now - self._left_nothing > SOON

    def polled(self, entered: float, returned: float, count: int, most: int) -> None:
        """A poll that does not wait handed out `count` of `most` events that it could."""
        self.behind |= entered - self.returned > STOOD_STILL
        self.arrived = self._left_nothing
        if 0 < count < most:
            # No event at all is no proof: a signal may have come, and the system was not asked.
            self._left_nothing = self._settles = entered
        self.returned = returned

    def waited(self, entered: float, limit: float, returned: float, count: int, most: int, asked: bool) -> None:
        """A wait of up to `limit` seconds ended with `count` of `most` events. asked: a poll just before it found none;
        else something may have come within `SOON` before it began.
        """
        if count == most and not asked:
            self.polled(entered, returned, count, most)
            return
        took = returned - entered
        self.behind |= took > limit + OVERDUE or entered - self.returned > STOOD_STILL
        self.arrived = self._left_nothing = returned if took <= limit + OVERDUE else entered
        # One that a signal broke off past its time asks the system no more, and looks as if nothing had come.
        if 0 < count < most or not count and took <= limit + ON_TIME:
            self._settles = entered
        self.returned = returned

    def handled(self) -> None:
        """What the latest poll handed out has been read."""
        self.behind &= self.settled == self._settles
        self.settled = self._settles
