"""A running router asked over its fellows' socket: one UDP socket, asked again where an answer is lost."""

from __future__ import annotations

import os
import socket
import time

from wickhinge.peers.status_client import StatusClient

AGAIN = 0.3  # seconds without a word after which the same is asked again
ATTEMPTS = 5


class Silent(Exception):
    """No answer; the text says from whom."""


def ask(
    key: bytes, name: str, address: tuple[str, int], word: str, more: bytes = b"", attempts: int = ATTEMPTS
) -> bytes:
    """Raises Silent."""
    reason = ""
    asking = StatusClient(key, name, int.from_bytes(os.urandom(7)), word, more)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as line:
        line.connect(address)
        for _ in range(attempts):
            try:
                line.send(asking.datagram())
                until = time.monotonic() + AGAIN
                while (left := until - time.monotonic()) > 0:
                    line.settimeout(left)
                    if asking.receive(line.recv(65536)):
                        line.send(asking.datagram())
                        until = time.monotonic() + AGAIN
                    if (found := asking.answer()) is not None:
                        return found
            except TimeoutError:
                continue
            except OSError as problem:  # refused: nobody listens there
                time.sleep(AGAIN / 3)
                reason = f": {problem.strerror}"
                continue
    raise Silent(f"{name} at {address[0]}:{address[1]} does not answer{reason}")
