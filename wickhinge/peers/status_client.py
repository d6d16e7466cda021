"""The operator's side of a status request, without I/O; status_messages.py describes the format."""

from __future__ import annotations

import msgspec

from wickhinge.common.sealing import DatagramError
from wickhinge.peers.status_messages import COOKIE_BYTES, MAX_PARTS, StatusRequest, decode_part, encode_request


class StatusClient:
    """One status request and the parts of its answer that have been received."""

    def __init__(self, key: bytes, process_name: str, number: int, command: str, payload: bytes = b"") -> None:
        """Create a request to a process, which is a router or takes part in the change log.

        Args:
            key: The key that the client shares with the process.
            process_name: Name of the process.
            number: A number drawn anew for each request, by which answers to other requests are told apart.
            command: Name of the command.
            payload: Payload for the command.
        """
        self._key = key
        self._request = StatusRequest(process_name, number, bytes(COOKIE_BYTES), command, payload)
        self._payloads: dict[int, bytes] = {}  # The payloads of the received parts, by index.
        self._total = 0  # Number of parts of the answer; 0 if none has been received.

    def request_datagram(self) -> bytes:
        """Return the datagram to send to the process, first and again after each timeout."""
        return encode_request(self._key, self._request)

    def receive(self, datagram: bytes) -> bool:
        """Handle a datagram; a datagram that does not answer this request changes nothing.

        Returns:
            Whether the request has to be sent again at once, because the process has sent a new cookie for it.
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
            if part.total != self._total:  # The repeated request was answered with another number of parts.
                self._payloads, self._total = {}, part.total
            self._payloads[part.index] = part.payload
        return False

    def complete_answer(self) -> bytes | None:
        """Return the answer, or None while a part of it is missing."""
        if not self._total or len(self._payloads) < self._total:
            return None
        return b"".join(self._payloads[index] for index in range(1, self._total + 1))
