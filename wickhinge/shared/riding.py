"""Several parts that ride on one detector's datagrams: a MessagePack array of byte strings, one a part, in fixed order.

A part that is off at one router and on at another rides as nothing, so a fleet may switch it on one by one.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from wickhinge.peers.detector import FailureDetector

MOST = 4  # parts
decoder = msgspec.msgpack.Decoder(list[bytes])
encoder = msgspec.msgpack.Encoder()


class Part(Protocol):
    def rider(self, to: str) -> bytes: ...

    def ridden(self, name: str, data: bytes, now: float) -> None: ...


class Riding:
    def __init__(self, detector: FailureDetector, parts: list[Any]) -> None:
        """parts: each a Part, or None where it is off here."""
        self.parts = parts
        self.unreadable = 0
        detector.attach_piggyback(self.rider, self.ridden)

    def rider(self, to: str) -> bytes:
        return encoder.encode([b"" if part is None else part.rider(to) for part in self.parts])

    def ridden(self, name: str, data: bytes, now: float) -> None:
        try:
            found = decoder.decode(data)
        except msgspec.MsgspecError:
            self.unreadable += 1
            return
        for part, told in zip(self.parts, found[:MOST], strict=False):
            if part is not None and told:
                part.ridden(name, told, now)
