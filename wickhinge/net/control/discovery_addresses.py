"""Choice of the discovery service's address: which one is in force, where it came from, and why.

The address is named by the platform's configuration, by the change log, and, as alternatives, by the options. Neither
source knows of the other, and nothing orders what they say across restarts. The service is at one of the addresses at
a time, so the choice combines two rules:

- Within the life of the process, what arrives later ranks higher: a changed configuration and an entry of the change
  log are tried at once, whatever is in use. A configuration that repeats its address says nothing new. The age of a
  setting in a snapshot is not known, so it is tried once and takes the place of another address only if it serves.
- An address is in force once it serves. The newest address of each source is a candidate. While none of them serves,
  they are tried in turn. An address in use is given up only for one that serves.

The configuration's word alone is in order: a new address replaces the one before it. With the change log, moves may be
told out of order, or not at all while no relay is heard, so addresses that served before are tried, too, after all
others.

This module does no I/O and reads no clock. The EndpointWatch makes the attempts and reports their results.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Any, NamedTuple

from wickhinge.common.retry_delays import RetryDelays, doubled_delay_s

Address = tuple[str, int]

RETRY_INTERVAL_S = 0.15  # Delay between attempts if the options set no backoff.
MAX_CHALLENGE_INTERVAL_S = 5.0  # Longest delay between attempts at a newer address while an older one serves.
MAX_FORMER_ADDRESSES = 3


class AddressSource(Enum):
    """Source that named an address. The values are written to log lines and reports."""

    CONFIGURATION = "configuration"
    CHANGE_LOG = "change log"
    OPTIONS = "options"


class Attempt(NamedTuple):
    """The next attempt to connect, and the seconds until it is due."""

    address: Address
    delay_s: float


class AddressInForce(NamedTuple):
    """The address that the router reads from or, if none serves, tries now.

    Attributes:
        address: The address.
        source: The source that named it last.
        serves: Whether the service has answered there, on a connection that has not been lost.
        reason: Why this address is in force and not a newer one.
    """

    address: Address
    source: AddressSource
    serves: bool
    reason: str


CONSTANT_DELAYS = RetryDelays(RETRY_INTERVAL_S, RETRY_INTERVAL_S, lambda: 0.5)


class DiscoveryAddresses:
    """The candidates for the discovery service's address, in order of preference, and the one in force.

    The methods that learn an address return whether an attempt at `attempt_address` is due at once. The methods that
    learn the result of an attempt return the next attempt, or None if none is due.

    Attributes:
        attempt_address: The address of the present or next attempt.
    """

    def __init__(
        self, configured: Address, alternatives: Sequence[Address] = (), delays: RetryDelays = CONSTANT_DELAYS
    ) -> None:
        """Begin with the address of the configuration.

        Args:
            configured: Address in the configuration that the process was started with.
            alternatives: Further addresses from the options, which are tried after all that were named.
            delays: Delays between attempts while no address serves.
        """
        self._configured = configured
        self._setting: Address | None = None  # Newest setting of the change log.
        self._is_setting_newer = False  # Whether the setting arrived after the configuration.
        self._has_heard_setting = False
        # Addresses that have served, with their sources then, the latest last.
        self._former: dict[Address, AddressSource] = {}
        self._alternatives = tuple(alternatives)
        self._delays = delays
        # Reason of the last failure of each candidate that has not served since.
        self._failures: dict[Address, str] = {}
        self._serving: Address | None = None
        # A newer address than the one that serves; it is attempted again and again.
        self._challenger: Address | None = None
        self._failed_challenges = 0
        # Failed attempts and lost connections since the service said last that it has told all its events.
        self._failed_attempts = 0
        self._is_up_to_date = False  # Whether it has said so since a connection was lost last.
        self.attempt_address = configured

    # What the sources say.

    def read_configuration(self, address: Address) -> bool:
        """Learn the address in a configuration that was read again; it replaces the one read before."""
        if address == self._configured:
            return False
        self._configured, self._is_setting_newer = address, False
        self._prefer(address)
        return True

    def apply_setting(self, address: Address) -> bool:
        """Learn the address in a new entry of the change log."""
        self._setting, self._is_setting_newer, self._has_heard_setting = address, True, True
        self._prefer(address)
        return True

    def load_setting(self, address: Address) -> bool:
        """Learn the address in a snapshot of the change log, whose age is not known."""
        if address == self._setting:
            return False
        self._setting, self._is_setting_newer, self._has_heard_setting = address, False, True
        self._drop_former_challenger()
        if address == self._serving:
            return False
        self.attempt_address = address
        return True

    def forget_setting(self) -> None:
        """Learn that the change log does not hold the setting any more."""
        self._setting, self._is_setting_newer = None, False
        self._drop_former_challenger()

    # What came of attempts.

    def record_success(self, address: Address) -> Attempt | None:
        """Record that the service has answered on a new connection to this address."""
        self._serving = self.attempt_address = address
        self._failures.pop(address, None)
        self._remember(address)
        if address == self._challenger:
            self._challenger = None
        return self._next_challenge()

    def record_failure(self, address: Address, reason: str) -> Attempt | None:
        """Record that an attempt at this address failed."""
        self._note_failure(address, reason)
        if self._serving is not None:
            self._failed_challenges += address == self._challenger
            return self._next_challenge()
        self._failed_attempts += 1
        return self._attempt(self._address_after(address))

    def record_up_to_date(self) -> None:
        """Record that the service has said that it has told all its events."""
        self._failed_attempts, self._is_up_to_date = 0, True

    def record_loss(self, reason: str, *, is_silent: bool) -> Attempt:
        """Record that the connection to the address that served was lost, or given up because it was silent.

        The address is attempted again first, unless it was silent or did not serve until the router was up to date.
        """
        lost, self._serving = self._serving or self.attempt_address, None
        was_up_to_date, self._is_up_to_date = self._is_up_to_date, False
        self._failed_attempts += 1
        self._note_failure(lost, reason)
        if self._challenger is not None:
            return self._attempt(self._challenger)
        is_retried = was_up_to_date and not is_silent and lost in self._candidates()
        return self._attempt(lost if is_retried else self._address_after(lost))

    # Answers.

    def has_alternatives(self) -> bool:
        """Return whether there is more than one candidate."""
        return len(self._candidates()) > 1

    def in_force(self) -> AddressInForce:
        """Return the address in force with its source and the reason."""
        address = self._serving or self.attempt_address
        return AddressInForce(address, self._source(address), self._serving is not None, self._reason())

    def is_setting_undecided(self) -> bool:
        """Return whether it is not known yet if the change log's newest setting comes into force."""
        if self._serving is None:
            return True
        return self._setting not in self._failures and self._setting == self.attempt_address != self._serving

    def why_setting_is_not_in_force(self) -> str:
        """Return why the change log's newest setting is not in force, or "" if it is."""
        in_force = self.in_force()
        if self._setting is None or not in_force.serves:
            return in_force.reason
        if self._setting == in_force.address:
            return ""
        current = f"{format_address(in_force.address)} ({in_force.source.value}) is in force"
        failure = self._failures.get(self._setting)
        if failure is not None:
            return f"{format_address(self._setting)} does not serve: {failure}; {current}"
        return current if self.is_setting_undecided() else f"{current}, which was named later"

    def report_fields(self) -> dict[str, Any]:
        """Return the entry of the discovery service's address in the report."""
        in_force = self.in_force()
        return {
            "address": format_address(in_force.address),
            "source": in_force.source.value,
            "serves": in_force.serves,
            "reason": in_force.reason,
            "candidates": [format_address(address) for address in self._candidates()],
        }

    # Steps.

    def _candidates(self) -> list[Address]:
        """Return all candidates, the most preferred first."""
        named = [self._setting, self._configured] if self._is_setting_newer else [self._configured, self._setting]
        former = reversed(self._former) if self._has_heard_setting else ()
        candidates = [*named, *self._alternatives, *former]
        return list(dict.fromkeys(address for address in candidates if address is not None))

    def _remember(self, address: Address) -> None:
        source = self._source(address)
        self._former.pop(address, None)
        self._former[address] = source
        while len(self._former) > MAX_FORMER_ADDRESSES:
            del self._former[next(iter(self._former))]

    def _prefer(self, address: Address) -> None:
        """Attempt an address now, and again and again until it serves or a newer one is named."""
        self._failed_attempts = self._failed_challenges = 0
        self._failures.pop(address, None)
        self._challenger = None if address == self._serving else address
        self.attempt_address = address

    def _drop_former_challenger(self) -> None:
        if self._challenger not in self._candidates():
            self._challenger = None

    def _note_failure(self, address: Address, reason: str) -> None:
        self._failures[address] = reason
        candidates = self._candidates()
        for former in [address for address in self._failures if address not in candidates]:
            del self._failures[former]

    def _next_challenge(self) -> Attempt | None:
        if self._challenger is None:
            self.attempt_address = self._serving or self.attempt_address
            return None
        self.attempt_address = self._challenger
        delay_s = doubled_delay_s(RETRY_INTERVAL_S, self._failed_challenges, MAX_CHALLENGE_INTERVAL_S)
        return Attempt(self._challenger, delay_s)

    def _attempt(self, address: Address) -> Attempt:
        """Return an attempt after a delay.

        The sum of the delays of a round does not grow with the number of addresses that the sources have named, down to
        RETRY_INTERVAL_S an attempt.
        """
        self.attempt_address = address
        candidates = len(self._candidates())
        delay_s = self._delays.delay_s(self._failed_attempts // candidates)
        share_s = delay_s * (1 + len(self._alternatives)) / candidates
        return Attempt(address, max(share_s, min(delay_s, RETRY_INTERVAL_S)))

    def _address_after(self, address: Address) -> Address:
        candidates = self._candidates()
        if address not in candidates:
            return candidates[0]
        return candidates[(candidates.index(address) + 1) % len(candidates)]

    def _source(self, address: Address) -> AddressSource:
        if address == self._setting and (self._is_setting_newer or address != self._configured):
            return AddressSource.CHANGE_LOG
        if address == self._configured:
            return AddressSource.CONFIGURATION
        if address in self._alternatives:
            return AddressSource.OPTIONS
        return self._former.get(address, AddressSource.CONFIGURATION)

    def _reason(self) -> str:
        if self._serving is None:
            return "no address serves; the candidates are tried in turn"
        if self._challenger is not None:
            failure = self._failures.get(self._challenger, "being tried")
            return f"the newer {format_address(self._challenger)} does not serve: {failure}"
        preferred = self._candidates()[0]
        if preferred in (self._serving, self.attempt_address):
            return "it serves, and no newer address is known"
        return f"it serves, and {format_address(preferred)} does not"


def format_address(address: Address) -> str:
    """Return an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"
