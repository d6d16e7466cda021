"""Client for status requests to a running process over UDP; a request without an answer is sent again."""

from __future__ import annotations

import os
import socket
import time
from dataclasses import dataclass

from wickhinge.peers.status_client import StatusClient

RETRY_INTERVAL_S = 0.3  # Wait for an answer before the request is sent again.
REFUSED_RETRY_DELAY_S = RETRY_INTERVAL_S / 3  # Delay before the next attempt if no process listens at the address.
MAX_ATTEMPTS = 5
MAX_DATAGRAM_BYTES = 65536
NONCE_BYTES = 7


class NoAnswerError(Exception):
    """A process did not answer a status request.

    Attributes:
        name: The process's name.
        address: The address that the request was sent to.
    """

    def __init__(self, name: str, address: tuple[str, int], reason: str) -> None:
        super().__init__(f"{name} at {address[0]}:{address[1]} does not answer{reason}")
        self.name, self.address = name, address


@dataclass(frozen=True, slots=True)
class Question:
    """A status request: a command that the process knows, its payload, and how often it is sent at most."""

    command: str
    payload: bytes = b""
    attempts: int = MAX_ATTEMPTS


def ask(key: bytes, name: str, address: tuple[str, int], question: Question) -> bytes:
    """Ask the process `name` at `address` a question sealed with the fleet's key and return the answer.

    Raises:
        NoAnswerError: No attempt got an answer.
    """
    reason = ""
    client = StatusClient(key, name, int.from_bytes(os.urandom(NONCE_BYTES)), question.command, question.payload)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        udp_socket.connect(address)
        for _ in range(question.attempts):
            try:
                answer = ask_once(udp_socket, client)
            except TimeoutError:
                continue
            except OSError as error:  # Most often "connection refused": no process listens at the address.
                time.sleep(REFUSED_RETRY_DELAY_S)
                reason = f": {error.strerror}"
                continue
            if answer is not None:
                return answer
    raise NoAnswerError(name, address, reason)


def ask_once(udp_socket: socket.socket, client: StatusClient) -> bytes | None:
    """Send the request, and again with the cookie that the process answers first; return the answer.

    Returns:
        The answer, or None if only a part of it or other datagrams arrived in time.

    Raises:
        TimeoutError: No datagram arrived in time.
        OSError: The socket failed, most often because no process listens at the address.
    """
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
