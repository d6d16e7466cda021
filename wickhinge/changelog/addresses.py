"""Where each process of the change log is reached: by the settings, or by where its datagrams come from. Deciding."""

from __future__ import annotations

from collections.abc import Mapping

from wickhinge.changelog.echo_tokens import COUNTER_BITS

Address = tuple[str, int]  # IPv4 address and UDP port

SESSION_TAKEOVER_S = (
    3.0  # another session of a name is taken for it, at another address, after so long without the former one
)
MAX_LEARNED_ADDRESSES = 8192
MAX_FORMER_SESSIONS = 4  # sessions of a process that are remembered


class LearnedAddress:
    """The address of a process that the settings do not name, the latest token that came from there, and the sessions
    that it had before.
    """

    __slots__ = ("address", "token", "received_at", "former")

    def __init__(self, address: Address, token: int, received_at: float) -> None:
        self.address, self.token, self.received_at = address, token, received_at
        self.former: list[int] = []

    @property
    def session(self) -> int:
        return self.token >> COUNTER_BITS

    def update(self, address: Address, token: int, now: float) -> None:
        if token >> COUNTER_BITS != self.session:
            self.former = [*self.former, self.session][-MAX_FORMER_SESSIONS:]
        self.address, self.token, self.received_at = address, token, now


class AddressBook:
    """`fixed`: addresses by the settings, which never change.

    Others are learned from packets that were readable under the key. One that was recorded on the way and is sent again
    from elsewhere must not draw a process's datagrams to it. So an address moves with a later token of the same session
    alone, or with another session than those before after SESSION_TAKEOVER_S without a later token.
    """

    def __init__(self, fixed: Mapping[str, Address]) -> None:
        self._fixed = dict(fixed)
        self._learned: dict[str, LearnedAddress] = {}

    def lookup(self, name: str) -> Address | None:
        """None where it is not known."""
        fixed = self._fixed.get(name)
        if fixed is not None:
            return fixed
        learned = self._learned.get(name)
        return None if learned is None else learned.address

    def record_packet(self, name: str, address: Address, token: int, now: float) -> None:
        """A readable packet of `name` came from `address` with `token`, 0 for none."""
        if not token or name in self._fixed:
            return
        learned = self._learned.get(name)
        if learned is None:
            self._make_capacity(now)
            if len(self._learned) < MAX_LEARNED_ADDRESSES:
                self._learned[name] = LearnedAddress(address, token, now)
        elif self._is_newer(learned, token, now):
            learned.update(address, token, now)

    def forget(self, now: float, source_timeout_s: float) -> None:
        """Drops what has not been heard for `source_timeout_s`."""
        for name in [name for name, learned in self._learned.items() if now - learned.received_at > source_timeout_s]:
            del self._learned[name]

    def _make_capacity(self, now: float) -> None:
        if len(self._learned) >= MAX_LEARNED_ADDRESSES:
            self.forget(now, SESSION_TAKEOVER_S)

    @staticmethod
    def _is_newer(learned: LearnedAddress, token: int, now: float) -> bool:
        session = token >> COUNTER_BITS
        if session == learned.session:
            return token > learned.token
        return session not in learned.former and now - learned.received_at > SESSION_TAKEOVER_S
