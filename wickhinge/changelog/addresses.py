"""Where each process of the change log is reached: by the settings, or by where its datagrams come from. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from wickhinge.changelog.echo_tokens import COUNTER_BITS

Address = tuple[str, int]  # IPv4 address and UDP port

SESSION_TAKEOVER_S = 3.0  # another session of a name is believed after so long without the one before
MAX_LEARNED_ADDRESSES = 8192
MAX_FORMER_SESSIONS = 4  # remembered for each process


class LearnedAddress:
    """The address of a process that the settings do not name, the latest token from there, and its former sessions."""

    __slots__ = ("address", "token", "received_at", "former_sessions")

    def __init__(self, address: Address, token: int, received_at: float) -> None:
        self.address, self.token, self.received_at = address, token, received_at
        self.former_sessions: list[int] = []

    @property
    def session(self) -> int:
        """The session that the latest token belongs to."""
        return self.token >> COUNTER_BITS

    def update(self, address: Address, token: int, now: float) -> None:
        """Takes a later token, and the address that it came from."""
        if token >> COUNTER_BITS != self.session:
            self.former_sessions = [*self.former_sessions, self.session][-MAX_FORMER_SESSIONS:]
        self.address, self.token, self.received_at = address, token, now

    def is_outdated_by(self, token: int, now: float) -> bool:
        """Whether a packet with `token` is later than what is known, and not one that was recorded and sent again."""
        session = token >> COUNTER_BITS
        if session == self.session:
            return token > self.token
        return session not in self.former_sessions and now - self.received_at > SESSION_TAKEOVER_S


class AddressBook:
    """Addresses by process name.

    Those in `fixed` come from the settings and never change. Others are learned from packets that were readable under
    the key. One that was recorded on the way and is sent again from elsewhere must not draw a process's datagrams to
    it. So an address moves with a later token of the same session alone, or with another session than those before
    after SESSION_TAKEOVER_S without a later token.
    """

    def __init__(self, fixed: Mapping[str, Address]) -> None:
        self._fixed = dict(fixed)
        self._learned: dict[str, LearnedAddress] = {}

    def lookup(self, name: str) -> Address | None:
        """The address of a process; None where it is not known."""
        fixed = self._fixed.get(name)
        if fixed is not None:
            return fixed
        learned = self._learned.get(name)
        return None if learned is None else learned.address

    def record_packet(self, name: str, address: Address, token: int, now: float) -> None:
        """Notes a readable packet of `name` that came from `address` with `token`, 0 for none."""
        if not token or name in self._fixed:
            return
        learned = self._learned.get(name)
        if learned is None:
            if len(self._learned) >= MAX_LEARNED_ADDRESSES:
                self.expire(now, SESSION_TAKEOVER_S)
            if len(self._learned) < MAX_LEARNED_ADDRESSES:
                self._learned[name] = LearnedAddress(address, token, now)
        elif learned.is_outdated_by(token, now):
            learned.update(address, token, now)

    def expire(self, now: float, max_silence_s: float) -> None:
        """Drops the learned addresses without a later token for `max_silence_s`."""
        expired = [name for name, learned in self._learned.items() if now - learned.received_at > max_silence_s]
        for name in expired:
            del self._learned[name]
