"""A relay: follows the replicas and hands their committed entries down to routers. It never orders anything."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from wickhinge.changelog.effects import Effect
from wickhinge.changelog.messages import NEWEST_FORMAT, Packet
from wickhinge.changelog.settings import RelaySettings


class SubscriberRow(msgspec.Struct, frozen=True):
    """One subscriber for a `show` command. `age_s`: since it was last heard; `uninformed_s`: as it said itself."""

    name: str
    number: int
    lag: int
    age_s: float
    uninformed_s: float
    watch: bool


class Relay:
    """`replicas` in order of preference; `chance` and `session` as for a Follower."""

    def __init__(
        self,
        name: str,
        replicas: Sequence[str],
        settings: RelaySettings,
        chance: Callable[[], float],
        session: int,
        now: float,
        newest_format: int = NEWEST_FORMAT,
    ) -> None:
        raise NotImplementedError

    def tick(self, now: float) -> list[Effect]:
        """To be called every TICK_S. Effects: Send."""
        raise NotImplementedError

    def heard(self, packet: Packet, now: float) -> list[Effect]:
        """One packet as `codec` read it, of a replica or of a router. Effects: Send."""
        raise NotImplementedError

    def rows(self, now: float) -> list[SubscriberRow]:
        raise NotImplementedError
