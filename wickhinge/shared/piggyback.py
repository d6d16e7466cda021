"""Several payloads that are piggybacked on one failure detector's datagrams: a MessagePack array of byte strings.

The parts have a fixed order. One that is off at one router and on at another is empty bytes, so a fleet may switch it
on one by one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from wickhinge.peers.detector import FailureDetector

MAX_PARTS = 4
decoder = msgspec.msgpack.Decoder(list[bytes])
encoder = msgspec.msgpack.Encoder()


class PiggybackPart(Protocol):
    """What has something to tell with each datagram that goes anyway."""

    def payload(self, to: str) -> bytes:
        """What to tell that peer now; called for each datagram that is sent."""

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Take in what that peer told; called for each datagram that came with a payload."""


class Piggyback:
    """Joins the payloads of several parts.

    Attributes:
        unreadable: Payloads that were not an array of byte strings.
    """

    def __init__(self, detector: FailureDetector, parts: Sequence[PiggybackPart | None]) -> None:
        """Attach to the detector; a part that is off here is None."""
        self.unreadable = 0
        self._parts = parts
        detector.attach_piggyback(self.payload, self.receive)

    def payload(self, to: str) -> bytes:
        """The payloads of all parts."""
        return encoder.encode([b"" if part is None else part.payload(to) for part in self._parts])

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Give each part its payload."""
        try:
            payloads = decoder.decode(data)
        except msgspec.MsgspecError:
            self.unreadable += 1
            return
        for part, payload in zip(self._parts, payloads[:MAX_PARTS], strict=False):
            if part is not None and payload:
                part.receive(name, payload, now)
