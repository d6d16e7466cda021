"""The operator's side of one status request, without I/O; status_messages.py has its form."""

from __future__ import annotations

import msgspec

from wickhinge.common.sealing import DatagramError
from wickhinge.peers.status_messages import COOKIE_BYTES, MAX_PARTS, StatusRequest, decode_part, encode_request


class StatusClient:
    """One request: what to send now, and what came back."""

    def __init__(self, key: bytes, to: str, number: int, command: str, payload: bytes = b"") -> None:
        """number: drawn anew for each request, so that no other answer is taken for ours."""
        self._key = key
        self._request = StatusRequest(to, number, bytes(COOKIE_BYTES), command, payload)
        self._pieces: dict[int, bytes] = {}
        self._total = 0

    def request_datagram(self) -> bytes:
        """What to send to the router, now and after each time-out."""
        return encode_request(self._key, self._request)

    def receive(self, datagram: bytes) -> bool:
        """Takes a datagram; whether the request has to be sent again at once, with the cookie that was told.

        A datagram that does not answer this request changes nothing.
        """
        try:
            part = decode_part(self._key, datagram)
        except DatagramError:
            return False
        if part.number != self._request.number:
            return False
        if part.index == 0:
            is_new_cookie = part.cookie != self._request.cookie
            self._request = msgspec.structs.replace(self._request, cookie=part.cookie)
            return is_new_cookie
        if 0 < part.index <= part.total <= MAX_PARTS:
            if part.total != self._total:  # answered anew, and longer or shorter than before
                self._pieces, self._total = {}, part.total
            self._pieces[part.index] = part.payload
        return False

    def complete_answer(self) -> bytes | None:
        """The answer, or None while a part of it is missing."""
        if not self._total or len(self._pieces) < self._total:
            return None
        return b"".join(self._pieces[index] for index in range(1, self._total + 1))
