"""Asks a running process a question over its UDP socket; the question is repeated where an answer is lost."""

from __future__ import annotations

import os
import socket
import time
from dataclasses import dataclass

from wickhinge.peers.status_client import StatusClient

RETRY_INTERVAL_S = 0.3  # without a datagram, after which the question is sent again
REFUSED_WAIT_S = RETRY_INTERVAL_S / 3  # where nobody listens
MAX_ATTEMPTS = 5
MAX_DATAGRAM_BYTES = 65536
NONCE_BYTES = 7


class NoAnswerError(Exception):
    """A process did not answer.

    Attributes:
        name: The process's name.
        address: Where it was asked.
    """

    def __init__(self, name: str, address: tuple[str, int], reason: str) -> None:
        super().__init__(f"{name} at {address[0]}:{address[1]} does not answer{reason}")
        self.name, self.address = name, address


@dataclass(frozen=True, slots=True)
class Question:
    """What is asked: a word that the process knows, and what belongs to it."""

    word: str
    more: bytes = b""
    attempts: int = MAX_ATTEMPTS


def ask(key: bytes, name: str, address: tuple[str, int], question: Question) -> bytes:
    """The answer of the process `name` at `address`, under the fleet's key.

    Raises:
        NoAnswerError: All attempts were without an answer.
    """
    reason = ""
    client = StatusClient(key, name, int.from_bytes(os.urandom(NONCE_BYTES)), question.word, question.more)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        udp_socket.connect(address)
        for _ in range(question.attempts):
            try:
                answer = attempt(udp_socket, client)
            except TimeoutError:
                continue
            except OSError as error:  # refused: nobody listens there
                time.sleep(REFUSED_WAIT_S)
                reason = f": {error.strerror}"
                continue
            if answer is not None:
                return answer
    raise NoAnswerError(name, address, reason)


def attempt(udp_socket: socket.socket, client: StatusClient) -> bytes | None:
    """Sends the question once, and once more with the cookie that comes first. Raises TimeoutError, OSError."""
    udp_socket.send(client.request_datagram())
    deadline = time.monotonic() + RETRY_INTERVAL_S
    while (remaining_s := deadline - time.monotonic()) > 0:
        udp_socket.settimeout(remaining_s)
        if client.receive(udp_socket.recv(MAX_DATAGRAM_BYTES)):
            udp_socket.send(client.request_datagram())
            deadline = time.monotonic() + RETRY_INTERVAL_S
        answer: bytes | None = client.complete_answer()
        if answer is not None:
            return answer
    return None
