"""Which address of a service is tried next, and after how long."""

from __future__ import annotations

from wickhinge.common.random_source import RandomSource

Address = tuple[str, int]

_MAX_DOUBLINGS = 16


class AddressBackoff:
    """Goes through a service's addresses in turn and waits longer after each round in which all failed.

    Delays are drawn between half and one and a half times the nominal one, so that many routers do not retry at once.
    """

    def __init__(
        self, addresses: list[Address], random_source: RandomSource, min_delay_s: float, max_delay_s: float
    ) -> None:
        self._addresses, self._random_source = addresses, random_source
        self._min_delay_s, self._max_delay_s = min_delay_s, max_delay_s
        self._index = self._failures = 0

    @property
    def address(self) -> Address:
        """The address to try now."""
        return self._addresses[self._index]

    def record_failure(self) -> tuple[Address, float]:
        """Moves on to the next address; returns it and the seconds until it is to be tried."""
        self._failures += 1
        self._index = (self._index + 1) % len(self._addresses)
        failed_rounds = self._failures // len(self._addresses)
        delay_s = min(self._min_delay_s * 2 ** min(failed_rounds, _MAX_DOUBLINGS), self._max_delay_s)
        return self.address, delay_s * (0.5 + self._random_source.draw())

    def record_success(self) -> None:
        """Starts again from the shortest delay; the address stays."""
        self._failures = 0

    def replace_first_address(self, address: Address) -> None:
        """Puts another address in place of the first and starts again from it."""
        self._addresses = [address, *self._addresses[1:]]
        self._index = self._failures = 0
