"""Where each process of the change log is reached: by the settings, or by where its datagrams come from. Deciding."""

from __future__ import annotations

from collections.abc import Mapping

from wickhinge.changelog.echo_tokens import COUNTER_BITS

Address = tuple[str, int]  # IPv4 address and UDP port

QUIET_S = 3.0  # another session of a name is taken for it, at another address, after so long without the former one
MOST_LEARNED = 8192
MOST_FORMER = 4  # sessions of a process that are remembered


class Learned:
    """The address of a process that the settings do not name, the latest token that came from there, and the sessions
    that it had before.
    """

    __slots__ = ("address", "token", "heard_at", "former")

    def __init__(self, address: Address, token: int, heard_at: float) -> None:
        self.address, self.token, self.heard_at = address, token, heard_at
        self.former: list[int] = []

    @property
    def session(self) -> int:
        return self.token >> COUNTER_BITS

    def take(self, address: Address, token: int, now: float) -> None:
        if token >> COUNTER_BITS != self.session:
            self.former = [*self.former, self.session][-MOST_FORMER:]
        self.address, self.token, self.heard_at = address, token, now


class AddressBook:
    """`fixed`: addresses by the settings, which never change.

    Others are learned from packets that were readable under the key. One that was recorded on the way and is sent again
    from elsewhere must not draw a process's datagrams to it. So an address moves with a later token of the same session
    alone, or with another session than those before after QUIET_S without a later token.
    """

    def __init__(self, fixed: Mapping[str, Address]) -> None:
        self._fixed = dict(fixed)
        self._learned: dict[str, Learned] = {}

    def of(self, name: str) -> Address | None:
        """None where it is not known."""
        fixed = self._fixed.get(name)
        if fixed is not None:
            return fixed
        learned = self._learned.get(name)
        return None if learned is None else learned.address

    def heard(self, name: str, address: Address, token: int, now: float) -> None:
        """A readable packet of `name` came from `address` with `token`, 0 for none."""
        if not token or name in self._fixed:
            return
        learned = self._learned.get(name)
        if learned is None:
            self._make_room(now)
            if len(self._learned) < MOST_LEARNED:
                self._learned[name] = Learned(address, token, now)
        elif self._counts(learned, token, now):
            learned.take(address, token, now)

    def forget(self, now: float, silent_s: float) -> None:
        """Drops what has not been heard for `silent_s`."""
        for name in [name for name, one in self._learned.items() if now - one.heard_at > silent_s]:
            del self._learned[name]

    def _make_room(self, now: float) -> None:
        if len(self._learned) >= MOST_LEARNED:
            self.forget(now, QUIET_S)

    @staticmethod
    def _counts(learned: Learned, token: int, now: float) -> bool:
        session = token >> COUNTER_BITS
        if session == learned.session:
            return token > learned.token
        return session not in learned.former and now - learned.heard_at > QUIET_S
