"""Choice of the service address to try next, and of the delay before it is tried."""

from __future__ import annotations

from wickhinge.common.random_source import RandomSource
from wickhinge.common.retry_delays import RetryDelays

Address = tuple[str, int]


class AddressBackoff:
    """Round robin over the addresses of a service with the delays of RetryDelays."""

    def __init__(
        self, addresses: list[Address], random_source: RandomSource, min_delay_s: float, max_delay_s: float
    ) -> None:
        self._addresses = addresses
        self._delays = RetryDelays(min_delay_s, max_delay_s, random_source.draw)
        self._address_index = self._failure_count = 0

    @property
    def address(self) -> Address:
        """The address to try now."""
        return self._addresses[self._address_index]

    def record_failure(self) -> tuple[Address, float]:
        """Select the next address; return it with the delay in seconds before it is to be tried."""
        self._failure_count += 1
        self._address_index = (self._address_index + 1) % len(self._addresses)
        failed_rounds = self._failure_count // len(self._addresses)
        return self.address, self._delays.delay_s(failed_rounds)

    def record_success(self) -> None:
        """Reset the delay to the shortest; the selected address stays."""
        self._failure_count = 0
