"""Chooses, from an ordered list, the source that a follower follows and a secondary one that it compares with."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wickhinge.changelog.messages import OLDEST_FORMAT
from wickhinge.changelog.settings import FollowSettings

NEVER = float("-inf")
BAN_DURATION_S = 60.0  # a source whose log was found wrong is not followed for so long


class Source:
    """What is known of one source.

    Attributes:
        name: The process's name.
        received_at: A time before which its last packet was not sent.
        received_since: Since when packets have come without a gap of `source_timeout_s`.
        newest_format: The newest wire format that it reads.
        head: The highest number that it is known to have.
        confirmed_until: Its log is known to be complete until this time.
        banned_until: It is not followed before this time.
    """

    __slots__ = ("name", "received_at", "received_since", "newest_format", "head", "confirmed_until", "banned_until")

    def __init__(self, name: str) -> None:
        self.name = name
        self.received_at = self.received_since = NEVER
        self.newest_format = OLDEST_FORMAT
        self.head = 0
        self.confirmed_until = NEVER
        self.banned_until = NEVER

    def record_packet(self, sent_after: float, newest_format: int, timeout_s: float) -> None:
        """Notes a packet that was sent at `sent_after` or later; a gap over `timeout_s` starts a new run of packets."""
        if sent_after - self.received_at > timeout_s:
            self.received_since = sent_after
        self.received_at = max(self.received_at, sent_after)
        self.newest_format = newest_format

    def record_progress(self, head: int, confirmed_until: float | None) -> None:
        """Notes how far the source's log goes, and until when it says that it is complete (None: it does not say)."""
        self.head = max(self.head, head)
        if confirmed_until is not None:
            self.confirmed_until = max(self.confirmed_until, confirmed_until)

    def ban(self, now: float) -> None:
        """Keeps the source from being followed for BAN_DURATION_S."""
        self.banned_until = now + BAN_DURATION_S

    def is_usable(self, now: float) -> bool:
        """Whether the source may be followed."""
        return now >= self.banned_until


class Sources:
    """The source that is followed (`current`) and the one whose heartbeats are compared with it (`secondary`).

    `names` are in order of preference, each once. `random_fraction()` gives numbers in [0, 1). Times are those of the
    process's clock, in seconds. Raises ValueError where `names` is empty or holds a name twice.
    """

    def __init__(
        self, names: Sequence[str], settings: FollowSettings, random_fraction: Callable[[], float], now: float
    ) -> None:
        if not names or len(set(names)) != len(names):
            raise ValueError(f"expected source names, each once, not {list(names)}")
        self.by_name = {name: Source(name) for name in names}
        self._order = list(names)
        self._settings, self._random_fraction = settings, random_fraction
        self.current = self.by_name[names[0]]
        self.secondary = self.by_name[names[1]] if len(names) > 1 else None
        self._followed_since = self._secondary_since = now
        self._lag: tuple[int, float] | None = None  # a head that the secondary had and the current had not, and since

    def forget_heads(self) -> None:
        """Drops all heads: with a new epoch, numbers have another meaning."""
        for source in self.by_name.values():
            source.head = 0
        self._lag = None

    def recently_received(self, now: float, within_s: float) -> list[str]:
        """The names of the sources from which a packet came within the last `within_s`."""
        return [name for name, source in self.by_name.items() if now - source.received_at <= within_s]

    def follow(self, name: str, now: float) -> None:
        """Makes the named source the current one."""
        self.current = self.by_name[name]
        self._followed_since = now
        self._lag = None
        if self.secondary is self.current:
            self._choose_next_secondary(self.current, now)

    @property
    def is_confirmed(self) -> bool:
        """Whether a packet of the current source came since it was chosen."""
        return self.current.received_at >= self._followed_since

    def restart_timeouts(self, now: float) -> None:
        """Restarts all timeouts after this process stood still: the silence meanwhile is no source's fault."""
        self._followed_since = self._secondary_since = now
        self._lag = None

    def choose(self, now: float) -> bool:
        """Leaves a silent, banned or lagging source; returns whether another one is followed from now on."""
        previous = self.current
        if self._is_silent(self.current, self._followed_since, now) or not self.current.is_usable(now):
            self.follow(self._replacement(now), now)
        elif self.secondary is not None and (
            self._is_behind(self.secondary, now) or self._prefers(self.secondary, now)
        ):
            self.follow(self.secondary.name, now)
        if self.secondary is not None:
            self._rotate_secondary(self.secondary, now)
        return self.current is not previous

    def _is_silent(self, source: Source, since: float, now: float) -> bool:
        return now - max(source.received_at, since) > self._settings.source_timeout_s

    def _is_receiving(self, source: Source, now: float) -> bool:
        return now - source.received_at <= self._settings.source_timeout_s

    def _replacement(self, now: float) -> str:
        """The secondary where packets come from it, else the next in the list."""
        secondary = self.secondary
        if secondary is not None and secondary.is_usable(now) and self._is_receiving(secondary, now):
            return secondary.name
        return self._next_after(self.current.name, now)

    def _next_after(self, name: str, now: float) -> str:
        place = self._order.index(name)
        following = self._order[place + 1 :] + self._order[: place + 1]
        return next((other for other in following if self.by_name[other].is_usable(now)), following[0])

    def _is_behind(self, secondary: Source, now: float) -> bool:
        """Whether the current source is behind the secondary.

        It is where the secondary's head has been ahead for longer than `max_lag_s`, or its knowledge is younger by so
        much.
        """
        current, max_lag_s = self.current, self._settings.max_lag_s
        if not secondary.is_usable(now) or not self._is_receiving(secondary, now):
            self._lag = None
            return False
        if self._lag is not None and current.head >= self._lag[0]:
            self._lag = None
        if self._lag is None and secondary.head > current.head:
            self._lag = secondary.head, now
        if self._lag is not None and now - self._lag[1] > max_lag_s:
            return True
        has_settled = now - self._followed_since > self._settings.source_timeout_s
        return has_settled and secondary.confirmed_until - current.confirmed_until > max_lag_s

    def _prefers(self, secondary: Source, now: float) -> bool:
        """Whether the secondary stands earlier in the list and has been well for `return_delay_s`."""
        return_delay_s = self._settings.return_delay_s
        if self._order.index(secondary.name) > self._order.index(self.current.name) or not secondary.is_usable(now):
            return False
        is_steady = self._is_receiving(secondary, now) and now - secondary.received_since >= return_delay_s
        return is_steady and secondary.head >= self.current.head and now - self._followed_since >= return_delay_s

    def _rotate_secondary(self, secondary: Source, now: float) -> None:
        waited_s = now - self._secondary_since
        is_silent = self._is_silent(secondary, self._secondary_since, now)
        rotation_s = self._settings.secondary_rotation_s
        if is_silent or not secondary.is_usable(now) or waited_s > rotation_s * (1 + self._random_fraction()):
            self._choose_next_secondary(secondary, now)

    def _choose_next_secondary(self, secondary: Source, now: float) -> None:
        following = self._next_after(secondary.name, now)
        if following == self.current.name:
            following = self._next_after(following, now)
        self.secondary = self.by_name[following]
        self._secondary_since = now
        self._lag = None
