"""Responses of servers that stop half way, at the least memory that there may be."""

import threading
import time
from contextlib import suppress

from tests.support.router_process import OK_FIELDS

LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}
BODY_BYTES, SENT_BYTES = 240_000, 200_000
REQUESTS = 300  # Many more than there are buffers for, if each response holds what was sent of it.
RECOVERY_S = 5.0  # Over the budgets of the requests.


class Servers:
    """The servers of a harness, which answer by halves until they are well."""

    def __init__(self, harness):
        self.harness, self.is_well, self.halves = harness, False, 0
        for index in range(len(harness.listeners)):
            harness.listeners[index].settimeout(None)
            threading.Thread(target=self._accept, args=(index,), daemon=True).start()

    def _accept(self, index):
        with suppress(OSError):
            while True:
                connection = self.harness.accept_connection(index)
                threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection):
        with suppress(OSError):
            while (request := connection.next_request(60.0)) is not None:
                if self.is_well:
                    request.answer("OK", OK_FIELDS, b"x" * 500)
                    continue
                head = f"*4\r\n$16\r\n{request.id.decode()}\r\n$2\r\nOK\r\n${len(OK_FIELDS)}\r\n{OK_FIELDS}\r\n"
                connection.socket.sendall(f"{head}${BODY_BYTES}\r\n".encode() + b"x" * SENT_BYTES)
                self.halves += 1


def test_requests_are_served_again_after_responses_that_stopped_half_way_filled_the_buffers(stand):
    """While the buffers were used up nothing was read, so that such responses never ended and nothing began."""
    harness = stand(machines=("box",) * 16 + ("origin",), limits=LIMITS)
    servers = Servers(harness)
    clients = [harness.client() for _ in range(REQUESTS)]
    for number, client in enumerate(clients):
        client.ask("pages", obj=f"{number:016x}", budget="2000")
    harness.router.wait('"event":"buffers_exhausted"')
    servers.is_well = True
    deadline = time.monotonic() + RECOVERY_S
    while True:
        client = harness.client()
        if client.answer(client.ask("pages", budget="500"))[2] is None:
            return
        assert time.monotonic() < deadline, "no request was served"
        time.sleep(0.1)
