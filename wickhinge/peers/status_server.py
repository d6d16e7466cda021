"""The server side of status requests, without I/O; status_messages.py describes the format."""

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

COOKIE_SLOT_S = 5.0  # Time slot of a cookie; a cookie is valid in the slot in which it was made and in the next one.
MAX_PARTS_PER_S = 400.0  # Rate limit for the parts of answers; requests beyond it are not answered.
_MAX_COMMAND_LENGTH = 64
_MAX_SECRET_BYTES = 64

Command = Callable[[bytes], bytes]  # Called with the payload of a request; returns the payload of the answer.
Sender = object  # Address of a sender; addresses with the same repr() count as equal.


class StatusServer:
    """Answers the status requests that are sealed with one key."""

    def __init__(self, name: str, key: bytes, secret: bytes, now: float) -> None:
        """Create a server without commands.

        Args:
            name: Name of this process, which requests for it carry.
            key: The key that clients share with this process.
            secret: Random secret of this process, from which cookies are made.
            now: The current time, in seconds of the clock whose times are passed to `receive`.
        """
        self._name, self._key, self._secret = name, key, secret
        self._commands: dict[str, Command] = {}
        self._bucket = TokenBucket(MAX_PARTS_PER_S, MAX_PARTS_PER_S, now, tokens=MAX_PARTS_PER_S)

    def add_command(self, name: str, command: Command) -> None:
        """Register a function that is called for each request of this name that has a valid cookie."""
        self._commands[name] = command

    @property
    def command_names(self) -> set[str]:
        """The names of the registered commands."""
        return set(self._commands)

    def receive(self, datagram: bytes, sender: Sender, now: float) -> list[bytes]:
        """Handle a datagram and return the datagrams that answer it.

        Raises:
            DatagramError: The datagram is not a request, or is not sealed with this server's key.
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
        payload = self._run_command(request)
        pieces = [payload[start : start + MAX_PART_BYTES] for start in range(0, len(payload), MAX_PART_BYTES)] or [b""]
        if not self._bucket.take(len(pieces), now):
            return []
        return [
            encode_part(self._key, StatusPart(request.number, request.cookie, index, len(pieces), piece))
            for index, piece in enumerate(pieces, 1)
        ]

    def _run_command(self, request: StatusRequest) -> bytes:
        command = self._commands.get(request.command)
        if command is None:
            return _error_answer(f"{request.command} is not a known command")
        payload = command(request.payload)
        if len(payload) > MAX_PART_BYTES * MAX_PARTS:
            return _error_answer(
                f"the answer of {len(payload)} bytes is longer than the limit of {MAX_PART_BYTES * MAX_PARTS}"
            )
        return payload

    def _cookie(self, sender: Sender, number: int, slot: int) -> bytes:
        text = f"{sender!r} {number} {slot}".encode()
        return blake2b(text, digest_size=COOKIE_BYTES, key=self._secret[:_MAX_SECRET_BYTES]).digest()


def _error_answer(reason: str) -> bytes:
    return msgspec.json.encode({"error": reason})
