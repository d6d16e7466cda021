"""Servers of a router under test that answer every request at once, each connection in a thread."""

import threading
from contextlib import suppress

from tests.support.router_process import OK_FIELDS


def serve_all_requests(harness):
    """Answer all requests that the router sends to its servers, until the test's sockets are closed."""
    for index in range(len(harness.listeners)):
        threading.Thread(target=_accept_connections, args=(harness, index), daemon=True).start()


def _accept_connections(harness, index):
    harness.listeners[index].settimeout(None)
    with suppress(OSError):
        while True:
            connection = harness.accept_connection(index)
            threading.Thread(target=_answer_requests, args=(connection,), daemon=True).start()


def _answer_requests(connection):
    with suppress(OSError):
        while (request := connection.next_request(60.0)) is not None:
            request.answer("OK", OK_FIELDS, b"x" * 500)
