"""Choice of the source that is followed and of a secondary source whose heartbeats are compared with it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wickhinge.changelog.messages import OLDEST_FORMAT
from wickhinge.changelog.settings import FollowSettings

NEVER = float("-inf")  # A time before every reading of the clock.
BAN_DURATION_S = 60.0  # Time for which a source whose log contradicted a majority is not followed.


class Source:
    """State of one source, as far as its packets show it.

    Attributes:
        name: Process name of the source.
        received_at: Earliest time at which the latest packet of the source can have been sent.
        received_since: Start of the latest run of packets without a gap over `source_timeout_s`.
        newest_format: Newest wire format that the source reads.
        head: Highest sequence number that the source's log is known to hold.
        confirmed_until: Time until which the source's log is known to be complete.
        banned_until: Time before which the source is not followed.
    """

    __slots__ = ("name", "received_at", "received_since", "newest_format", "head", "confirmed_until", "banned_until")

    def __init__(self, name: str) -> None:
        """Create the state of a source that has sent nothing."""
        self.name = name
        self.received_at = self.received_since = NEVER
        self.newest_format = OLDEST_FORMAT
        self.head = 0
        self.confirmed_until = NEVER
        self.banned_until = NEVER

    def record_packet(self, sent_after: float, newest_format: int, timeout_s: float) -> None:
        """Record a packet that was sent at `sent_after` or later.

        A gap over `timeout_s` since the previous packet starts a new run of packets.
        """
        if sent_after - self.received_at > timeout_s:
            self.received_since = sent_after
        self.received_at = max(self.received_at, sent_after)
        self.newest_format = newest_format

    def record_progress(self, head: int, confirmed_until: float | None) -> None:
        """Record the last sequence number of the source's log, and the time until which the log is complete.

        The time is None if the source does not report it.
        """
        self.head = max(self.head, head)
        if confirmed_until is not None:
            self.confirmed_until = max(self.confirmed_until, confirmed_until)

    def ban(self, now: float) -> None:
        """Exclude the source from being followed for BAN_DURATION_S."""
        self.banned_until = now + BAN_DURATION_S

    def is_usable(self, now: float) -> bool:
        """Return whether the source may be followed, which a ban forbids."""
        return now >= self.banned_until


class Sources:
    """All sources, with the current and the secondary one.

    Times are read from the process's clock, in seconds.

    Attributes:
        by_name: All sources by process name.
        current: Source that is followed.
        secondary: Source whose heartbeats are compared with those of the current source; None if there is one source.
    """

    def __init__(
        self, names: Sequence[str], settings: FollowSettings, random_fraction: Callable[[], float], now: float
    ) -> None:
        """Follow the first source, with the second one as the secondary.

        Args:
            names: Names of the sources in order of preference.
            settings: Intervals and timeouts.
            random_fraction: Returns a random number in [0, 1).
            now: Present time.

        Raises:
            ValueError: `names` is empty or holds a name twice.
        """
        if not names or len(set(names)) != len(names):
            raise ValueError(f"sources: expected at least one name and no duplicates, got {list(names)}")
        self.by_name = {name: Source(name) for name in names}
        self._names = list(names)  # In order of preference.
        self._settings, self._random_fraction = settings, random_fraction
        self.current = self.by_name[names[0]]
        self.secondary = self.by_name[names[1]] if len(names) > 1 else None
        self._followed_since = self._secondary_since = now
        # Head that the secondary source had and the current one had not, with the time at which this was first seen.
        # None while the current source does not lag.
        self._observed_lag: tuple[int, float] | None = None

    def forget_heads(self) -> None:
        """Reset the heads of all sources, as sequence numbers of a former epoch cannot be compared with new ones."""
        for source in self.by_name.values():
            source.head = 0
        self._observed_lag = None

    def recently_received(self, now: float, within_s: float) -> list[str]:
        """Return the names of the sources whose latest packet was sent within the last `within_s`."""
        return [name for name, source in self.by_name.items() if now - source.received_at <= within_s]

    def follow(self, name: str, now: float) -> None:
        """Make the source `name` the current one."""
        self.current = self.by_name[name]
        self._followed_since = now
        self._observed_lag = None
        if self.secondary is self.current:
            self._choose_next_secondary(self.current, now)

    @property
    def has_current_answered(self) -> bool:
        """Whether the current source has sent a packet since it became the current one."""
        return self.current.received_at >= self._followed_since

    def restart_timeouts(self, now: float) -> None:
        """Restart all timeouts after this process was suspended, as no source caused the silence meanwhile."""
        self._followed_since = self._secondary_since = now
        self._observed_lag = None

    def update_current(self, now: float) -> bool:
        """Replace the current source if it is silent, banned or lagging, or if a preferred source is back.

        The secondary source is replaced, too, if that is due. Returns whether the current source has changed.
        """
        previous = self.current
        if self._is_silent(self.current, self._followed_since, now) or not self.current.is_usable(now):
            self.follow(self._replacement_name(now), now)
        elif self.secondary is not None and (
            self._is_current_behind(self.secondary, now) or self._should_return_to(self.secondary, now)
        ):
            self.follow(self.secondary.name, now)
        if self.secondary is not None:
            self._replace_secondary_if_due(self.secondary, now)
        return self.current is not previous

    def _is_silent(self, source: Source, since: float, now: float) -> bool:
        return now - max(source.received_at, since) > self._settings.source_timeout_s

    def _has_recent_packet(self, source: Source, now: float) -> bool:
        return now - source.received_at <= self._settings.source_timeout_s

    def _replacement_name(self, now: float) -> str:
        """Return the secondary source's name if that is usable and sends packets, else the next usable name."""
        secondary = self.secondary
        if secondary is not None and secondary.is_usable(now) and self._has_recent_packet(secondary, now):
            return secondary.name
        return self._next_usable_name(self.current.name, now)

    def _next_usable_name(self, name: str, now: float) -> str:
        place = self._names.index(name)
        following = self._names[place + 1 :] + self._names[: place + 1]
        return next((other for other in following if self.by_name[other].is_usable(now)), following[0])

    def _is_current_behind(self, secondary: Source, now: float) -> bool:
        """Return whether the current source lags behind the secondary one by more than `max_lag_s`.

        It does if the secondary's head has been ahead for longer than `max_lag_s`, or if the secondary's log is
        complete until a time that is more than `max_lag_s` later.
        """
        current, max_lag_s = self.current, self._settings.max_lag_s
        if not secondary.is_usable(now) or not self._has_recent_packet(secondary, now):
            self._observed_lag = None
            return False
        if self._observed_lag is not None and current.head >= self._observed_lag[0]:
            self._observed_lag = None
        if self._observed_lag is None and secondary.head > current.head:
            self._observed_lag = secondary.head, now
        if self._observed_lag is not None and now - self._observed_lag[1] > max_lag_s:
            return True
        is_past_first_timeout = now - self._followed_since > self._settings.source_timeout_s
        return is_past_first_timeout and secondary.confirmed_until - current.confirmed_until > max_lag_s

    def _should_return_to(self, secondary: Source, now: float) -> bool:
        """Return whether the secondary source precedes the current one in the order of preference and is steady again.

        It is steady if its packets have come without a gap for `return_delay_s` and its head is not behind. The current
        source has to have been followed for `return_delay_s`, too.
        """
        return_delay_s = self._settings.return_delay_s
        if self._names.index(secondary.name) > self._names.index(self.current.name) or not secondary.is_usable(now):
            return False
        is_steady = self._has_recent_packet(secondary, now) and now - secondary.received_since >= return_delay_s
        return is_steady and secondary.head >= self.current.head and now - self._followed_since >= return_delay_s

    def _replace_secondary_if_due(self, secondary: Source, now: float) -> None:
        waited_s = now - self._secondary_since
        is_silent = self._is_silent(secondary, self._secondary_since, now)
        rotation_s = self._settings.secondary_rotation_s
        if is_silent or not secondary.is_usable(now) or waited_s > rotation_s * (1 + self._random_fraction()):
            self._choose_next_secondary(secondary, now)

    def _choose_next_secondary(self, secondary: Source, now: float) -> None:
        following = self._next_usable_name(secondary.name, now)
        if following == self.current.name:
            following = self._next_usable_name(following, now)
        self.secondary = self.by_name[following]
        self._secondary_since = now
        self._observed_lag = None
