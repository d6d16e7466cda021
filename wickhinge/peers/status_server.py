"""What an operator asks a running router, over the socket that its fellows speak to and under the fleet's key.

    ask    = "WP?" body mac:16     body: MessagePack [to, number, cookie, word, more]
    part   = "WP!" body mac:16     body: MessagePack [number, cookie, place, of, more]

Both ways under the key, one ask a datagram, the answer in parts. An ask counts only with the cookie that the router
made for its sender and number, in this life and some seconds; without one the answer is that cookie and nothing else,
shorter than what was asked. So an ask of yesterday, or one sent under another's address, does nothing and draws little.
Cookies are made from a secret of the process, and none is stored (the way of RFC 9110's opaque validators and of SYN
cookies). Deciding and speaking, without I/O.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgspec

from wickhinge.common.token_bucket import TokenBucket
from wickhinge.peers.wire import Unreadable, decoded, sealed, unsealed

ASK, PART = b"WP?", b"WP!"
COOKIE = 16
SLOT = 5.0  # seconds: a cookie is good in the slot that it was made in and the next
EACH = 1100  # bytes of an answer in a part
PARTS = 64
RATE = 400.0  # parts a second, at most; past it asks are left unanswered
WORDS = 64  # letters of a word


class Ask(msgspec.Struct, array_like=True, frozen=True):
    to: str
    number: int
    cookie: bytes
    word: str
    more: bytes = b""


class Part(msgspec.Struct, array_like=True, frozen=True):
    number: int
    cookie: bytes
    place: int  # 1 to `of`; 0 where only the cookie is told
    of: int
    more: bytes = b""


encoder = msgspec.msgpack.Encoder()
asks, parts = msgspec.msgpack.Decoder(Ask), msgspec.msgpack.Decoder(Part)


def pack(key: bytes, magic: bytes, told: Ask | Part) -> bytes:
    return sealed(key, magic, encoder.encode(told))


def read(key: bytes, magic: bytes, data: bytes) -> Any:
    """Raises Unreadable."""
    return decoded(asks if magic == ASK else parts, unsealed(key, magic, data))


class Desk:
    """The router's side. words: what may be asked, each with what answers it out of `more`, as bytes."""

    def __init__(self, name: str, key: bytes, secret: bytes, now: float) -> None:
        self.name, self.key, self.secret = name, key, secret
        self.words: dict[str, Callable[[bytes], bytes]] = {}
        self.rate = TokenBucket(RATE, now)

    def cookie(self, sender: Any, number: int, slot: int) -> bytes:
        text = f"{sender!r} {number} {slot}".encode()
        return blake2b(text, digest_size=COOKIE, key=self.secret[:64]).digest()

    def heard(self, data: bytes, sender: Any, now: float) -> list[bytes]:
        """The datagrams that go back to the sender. Raises Unreadable."""
        ask = read(self.key, ASK, data)
        if ask.to != self.name or len(ask.word) > WORDS:
            return []
        slot = int(now / SLOT)
        mine = self.cookie(sender, ask.number, slot)
        if not any(hmac.compare_digest(ask.cookie, one) for one in (mine, self.cookie(sender, ask.number, slot - 1))):
            return [pack(self.key, PART, Part(ask.number, mine, 0, 0))] if self.rate.take(1, now) else []
        answers = self.words.get(ask.word)
        if answers is None:
            more = msgspec.json.encode({"error": f"{ask.word} is nothing that this router answers"})
        else:
            more = answers(ask.more)
        if len(more) > EACH * PARTS:
            more = msgspec.json.encode({"error": f"an answer of {len(more)} bytes is longer than {EACH * PARTS}"})
        pieces = [more[start : start + EACH] for start in range(0, len(more), EACH)] or [b""]
        if not self.rate.take(len(pieces), now):
            return []
        return [
            pack(self.key, PART, Part(ask.number, ask.cookie, place, len(pieces), piece))
            for place, piece in enumerate(pieces, 1)
        ]


class Asking:
    """The operator's side of one ask: what to send now, and what came back. number: drawn anew for each."""

    def __init__(self, key: bytes, to: str, number: int, word: str, more: bytes = b"") -> None:
        self.key, self.ask = key, Ask(to, number, bytes(COOKIE), word, more)
        self.pieces: dict[int, bytes] = {}
        self.of = 0

    def datagram(self) -> bytes:
        return pack(self.key, ASK, self.ask)

    def heard(self, data: bytes) -> bool:
        """Whether the ask has to go out again at once, with the cookie told. Another's datagram changes nothing."""
        try:
            part = read(self.key, PART, data)
        except Unreadable:
            return False
        if part.number != self.ask.number:
            return False
        if part.place == 0:
            changed = part.cookie != self.ask.cookie
            self.ask = msgspec.structs.replace(self.ask, cookie=part.cookie)
            return changed
        if 0 < part.place <= part.of <= PARTS:
            if part.of != self.of:  # answered anew, and longer or shorter than before
                self.pieces, self.of = {}, part.of
            self.pieces[part.place] = part.more
        return False

    def answer(self) -> bytes | None:
        """Whole, or None."""
        if not self.of or len(self.pieces) < self.of:
            return None
        return b"".join(self.pieces[place] for place in range(1, self.of + 1))
