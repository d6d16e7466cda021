"""Several payloads joined into one that the failure detector's datagrams carry: a MessagePack array of byte strings.

The payloads have the same order at all routers. A part that is switched off at a router sends empty bytes, so the
routers of a fleet can switch a part on one after another.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from wickhinge.peers.detector import FailureDetector

MAX_PARTS = 4  # Payloads of a datagram beyond this number are ignored.
decoder = msgspec.msgpack.Decoder(list[bytes])
encoder = msgspec.msgpack.Encoder()


class PiggybackPart(Protocol):
    """A part of the router that sends a payload with the failure detector's datagrams."""

    def payload(self, to: str) -> bytes:
        """Return the payload for a peer. Called for each datagram that is sent."""

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Handle a payload from a peer. Called for each datagram with a payload that is not empty."""


class Piggyback:
    """Joins the payloads of several parts into one, and splits received ones.

    Attributes:
        unreadable_count: Number of received payloads that were not an array of byte strings.
    """

    def __init__(self, detector: FailureDetector, parts: Sequence[PiggybackPart | None]) -> None:
        """Attach to the detector.

        Args:
            detector: Sends and receives the datagrams.
            parts: The parts in the order that all routers use; None for a part that is switched off here.
        """
        self.unreadable_count = 0
        self._parts = parts
        detector.attach_piggyback(self.payload, self.receive)

    def payload(self, to: str) -> bytes:
        """Return the joined payloads of all parts for a peer."""
        return encoder.encode([b"" if part is None else part.payload(to) for part in self._parts])

    def receive(self, name: str, data: bytes, now: float) -> None:
        """Pass each part its payload from a peer's datagram."""
        try:
            payloads = decoder.decode(data)
        except msgspec.MsgspecError:
            self.unreadable_count += 1
            return
        for part, payload in zip(self._parts, payloads[:MAX_PARTS], strict=False):
            if part is not None and payload:
                part.receive(name, payload, now)
