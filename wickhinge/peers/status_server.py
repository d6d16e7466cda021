"""The router's side of status requests, without I/O; status_messages.py has their form."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from hashlib import blake2b

import msgspec

from wickhinge.common.token_bucket import TokenBucket
from wickhinge.peers.status_messages import (
    COOKIE_BYTES,
    MAX_PART_BYTES,
    MAX_PARTS,
    StatusPart,
    StatusRequest,
    decode_request,
    encode_part,
)

COOKIE_SLOT_S = 5.0  # a cookie is good in the slot that it was made in and the next
MAX_PARTS_PER_S = 400.0  # past it requests are left unanswered
_MAX_COMMAND_LENGTH = 64
_MAX_SECRET_BYTES = 64

Command = Callable[[bytes], bytes]  # called with a request's payload, gives the answer's
Sender = object  # an address; only its repr counts


class StatusServer:
    """Answers status requests of one key."""

    def __init__(self, name: str, key: bytes, secret: bytes, now: float) -> None:
        """secret: of this process, drawn at its start; now: seconds of the clock that `receive` goes on with."""
        self._name, self._key, self._secret = name, key, secret
        self._commands: dict[str, Command] = {}
        self._bucket = TokenBucket(MAX_PARTS_PER_S, MAX_PARTS_PER_S, now, tokens=MAX_PARTS_PER_S)

    def add_command(self, name: str, command: Command) -> None:
        """command(payload) is called for each request of that name that has a valid cookie."""
        self._commands[name] = command

    @property
    def command_names(self) -> set[str]:
        """What can be asked."""
        return set(self._commands)

    def receive(self, datagram: bytes, sender: Sender, now: float) -> list[bytes]:
        """The datagrams that go back to the sender.

        Raises:
            DatagramError: it is no request, or not sealed with our key.
        """
        request = decode_request(self._key, datagram)
        if request.to != self._name or len(request.command) > _MAX_COMMAND_LENGTH:
            return []
        slot = int(now / COOKIE_SLOT_S)
        cookies = [self._cookie(sender, request.number, slot), self._cookie(sender, request.number, slot - 1)]
        if not any(hmac.compare_digest(request.cookie, cookie) for cookie in cookies):
            if not self._bucket.take(1, now):
                return []
            return [encode_part(self._key, StatusPart(request.number, cookies[0], 0, 0))]
        payload = self._answer(request)
        pieces = [payload[start : start + MAX_PART_BYTES] for start in range(0, len(payload), MAX_PART_BYTES)] or [b""]
        if not self._bucket.take(len(pieces), now):
            return []
        return [
            encode_part(self._key, StatusPart(request.number, request.cookie, index, len(pieces), piece))
            for index, piece in enumerate(pieces, 1)
        ]

    def _answer(self, request: StatusRequest) -> bytes:
        command = self._commands.get(request.command)
        if command is None:
            return _error(f"{request.command} is nothing that this router answers")
        payload = command(request.payload)
        if len(payload) > MAX_PART_BYTES * MAX_PARTS:
            return _error(f"an answer of {len(payload)} bytes is longer than {MAX_PART_BYTES * MAX_PARTS}")
        return payload

    def _cookie(self, sender: Sender, number: int, slot: int) -> bytes:
        text = f"{sender!r} {number} {slot}".encode()
        return blake2b(text, digest_size=COOKIE_BYTES, key=self._secret[:_MAX_SECRET_BYTES]).digest()


def _error(reason: str) -> bytes:
    return msgspec.json.encode({"error": reason})
