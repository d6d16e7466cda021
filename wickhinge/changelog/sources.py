"""Which source a follower follows and which second one it hears, from an ordered list."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wickhinge.changelog.messages import OLDEST_FORMAT
from wickhinge.changelog.settings import FollowSettings

NEVER = float("-inf")
BANNED_S = 60.0  # a source whose log was found wrong is not followed for so long


class Source:
    """What is known of one source. `heard_at`: a time before which its last packet was not sent."""

    __slots__ = ("name", "heard_at", "heard_since", "newest", "head", "until", "banned_until")

    def __init__(self, name: str) -> None:
        self.name = name
        self.heard_at = self.heard_since = NEVER
        self.newest = OLDEST_FORMAT
        self.head = 0
        self.until = NEVER
        self.banned_until = NEVER


class Sources:
    def __init__(self, names: Sequence[str], settings: FollowSettings, chance: Callable[[], float], now: float) -> None:
        if not names or len(set(names)) != len(names):
            raise ValueError("sources are to be named, each once")
        self.all = {name: Source(name) for name in names}
        self._order = list(names)
        self._settings, self._chance = settings, chance
        self.current = self.all[names[0]]
        self.watch = self.all[names[1]] if len(names) > 1 else None
        self._followed_since = self._watched_since = now
        self._behind: tuple[int, float] | None = None  # a head that the second one had and the first had not, when

    def heard(self, source: Source, sent_after: float, newest: int) -> None:
        """A packet of it came that was sent at `sent_after` or later."""
        if sent_after - source.heard_at > self._settings.silent_s:
            source.heard_since = sent_after
        source.heard_at = max(source.heard_at, sent_after)
        source.newest = newest

    def told(self, source: Source, head: int, until: float | None) -> None:
        source.head = max(source.head, head)
        if until is not None:
            source.until = max(source.until, until)

    def forget_heads(self) -> None:
        """With a new epoch, numbers have another meaning."""
        for source in self.all.values():
            source.head = 0
        self._behind = None

    def heard_lately(self, now: float, within_s: float) -> list[str]:
        return [name for name, source in self.all.items() if now - source.heard_at <= within_s]

    def follow(self, name: str, now: float) -> None:
        self.current = self.all[name]
        self._followed_since = now
        self._behind = None
        if self.watch is self.current:
            self._watch_next(now)

    def ban(self, name: str, now: float) -> None:
        self.all[name].banned_until = now + BANNED_S

    @property
    def is_confirmed(self) -> bool:
        """Whether the source that is followed has been heard since then."""
        return self.current.heard_at >= self._followed_since

    def stalled(self, now: float) -> None:
        """This process stood still: that nothing was heard meanwhile is no source's fault."""
        self._followed_since = self._watched_since = now
        self._behind = None

    def choose(self, now: float) -> bool:
        """Whether another source is followed from now on."""
        before = self.current
        if self._silent(self.current, self._followed_since, now) or now < self.current.banned_until:
            self.follow(self._replacement(now), now)
        elif self.watch is not None and (self._lags(now) or self._prefers_watch(now)):
            self.follow(self.watch.name, now)
        self._rotate_watch(now)
        return self.current is not before

    def _silent(self, source: Source, since: float, now: float) -> bool:
        return now - max(source.heard_at, since) > self._settings.silent_s

    def _usable(self, source: Source, now: float) -> bool:
        return now >= source.banned_until

    def _replacement(self, now: float) -> str:
        """The second source where it is heard, else the next in the list."""
        watch = self.watch
        if watch is not None and self._usable(watch, now) and now - watch.heard_at <= self._settings.silent_s:
            return watch.name
        return self._next_after(self.current.name, now)

    def _next_after(self, name: str, now: float) -> str:
        place = self._order.index(name)
        following = self._order[place + 1 :] + self._order[: place + 1]
        return next((other for other in following if self._usable(self.all[other], now)), following[0])

    def _lags(self, now: float) -> bool:
        """Whether the second source knows more: its head has been ahead for longer than `lag_s`, or its knowledge is
        younger by so much.
        """
        current, watch, lag_s = self.current, self.watch, self._settings.lag_s
        if not self._usable(watch, now) or now - watch.heard_at > self._settings.silent_s:
            self._behind = None
            return False
        if self._behind is not None and current.head >= self._behind[0]:
            self._behind = None
        if self._behind is None and watch.head > current.head:
            self._behind = watch.head, now
        if self._behind is not None and now - self._behind[1] > lag_s:
            return True
        is_settled = now - self._followed_since > self._settings.silent_s
        return is_settled and watch.until - current.until > lag_s

    def _prefers_watch(self, now: float) -> bool:
        watch, settle_s = self.watch, self._settings.settle_s
        if self._order.index(watch.name) > self._order.index(self.current.name) or not self._usable(watch, now):
            return False
        heard = now - watch.heard_at <= self._settings.silent_s and now - watch.heard_since >= settle_s
        return heard and watch.head >= self.current.head and now - self._followed_since >= settle_s

    def _rotate_watch(self, now: float) -> None:
        if self.watch is None:
            return
        waited = now - self._watched_since
        silent = self._silent(self.watch, self._watched_since, now)
        if silent or not self._usable(self.watch, now) or waited > self._settings.probe_s * (1 + self._chance()):
            self._watch_next(now)

    def _watch_next(self, now: float) -> None:
        following = self._next_after(self.watch.name, now)
        if following == self.current.name:
            following = self._next_after(following, now)
        self.watch = self.all[following]
        self._watched_since = now
        self._behind = None
