"""Addresses of the processes of the change log, from the settings or learned from received datagrams. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from wickhinge.changelog.echo_tokens import COUNTER_BITS

Address = tuple[str, int]  # IPv4 address and UDP port.

SESSION_TAKEOVER_S = 3.0  # Silence of a process's known session after which a new session is accepted.
MAX_LEARNED_ADDRESSES = 8192
MAX_FORMER_SESSIONS = (
    4  # Former sessions of a process that are remembered, so that replayed packets of them are refused.
)


class LearnedAddress:
    """Address of a process that the settings do not contain.

    Attributes:
        address: Address from which the latest token came.
        token: Latest token of the process.
        received_at: Time at which the latest token arrived.
        former_sessions: Sessions before the one of the latest token, oldest first.
    """

    __slots__ = ("address", "token", "received_at", "former_sessions")

    def __init__(self, address: Address, token: int, received_at: float) -> None:
        """Record the first token of a process."""
        self.address, self.token, self.received_at = address, token, received_at
        self.former_sessions: list[int] = []

    @property
    def session(self) -> int:
        """Session that the latest token belongs to."""
        return self.token >> COUNTER_BITS

    def update(self, address: Address, token: int, now: float) -> None:
        """Record a later token, and the address from which it came."""
        if token >> COUNTER_BITS != self.session:
            self.former_sessions = [*self.former_sessions, self.session][-MAX_FORMER_SESSIONS:]
        self.address, self.token, self.received_at = address, token, now

    def is_outdated_by(self, token: int, now: float) -> bool:
        """Return whether a packet with `token` is newer than the latest one, and therefore not a replayed packet."""
        session = token >> COUNTER_BITS
        if session == self.session:
            return token > self.token
        return session not in self.former_sessions and now - self.received_at > SESSION_TAKEOVER_S


class AddressBook:
    """Addresses by process name.

    Fixed addresses come from the settings and never change. Other addresses are learned from authentic packets. An
    attacker may record such a packet and replay it from another address; this must not divert datagrams to that
    address. A learned address therefore changes only with a later token of the same session, or, after
    SESSION_TAKEOVER_S without a later token, with a token of a session that the process has not had before.
    """

    def __init__(self, fixed: Mapping[str, Address]) -> None:
        """Create a book with the fixed addresses alone."""
        self._fixed = dict(fixed)
        self._learned: dict[str, LearnedAddress] = {}

    def lookup(self, name: str) -> Address | None:
        """Return the address of a process, or None if it is not known."""
        fixed = self._fixed.get(name)
        if fixed is not None:
            return fixed
        learned = self._learned.get(name)
        return None if learned is None else learned.address

    def record_packet(self, name: str, address: Address, token: int, now: float) -> None:
        """Record an authentic packet of `name` from `address`; the token 0 means that the packet has none."""
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
        """Remove the learned addresses whose latest token arrived more than `max_silence_s` ago."""
        expired = [name for name, learned in self._learned.items() if now - learned.received_at > max_silence_s]
        for name in expired:
            del self._learned[name]
