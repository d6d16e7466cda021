"""The reasons that the log gives for lost connections to servers.

In 10 of 60 runs the `reason` of `upstream_connection_lost` was `[Failure instance: Traceback: <class ...`, with line
numbers of Twisted's files. Where a connection ends while it is coming up, Twisted's ConnectError has a Failure where
its text should be, and its text is then the representation of that object.
"""

import json

from twisted.internet.error import ConnectError, ConnectionLost
from twisted.python.failure import Failure

from wickhinge.common.connector import failure_text


def test_log_reason_when_a_connection_is_refused_is_plain_text(stand):
    made = stand()
    made.listeners[0].close()
    client = made.client()
    client.ask("pages")
    reason = json.loads(made.router.wait('"event":"upstream_connection_lost"'))["reason"]
    assert "Failure" not in reason and "Traceback" not in reason and "\n" not in reason
    assert "connect" in reason.lower()


def test_failure_text_when_an_error_contains_a_failure_is_the_text_of_both():
    cause = Failure(ConnectionLost("reset by peer"))
    text = failure_text(Failure(ConnectError(string=cause)))
    assert (
        text == "An error occurred while connecting: Connection to the other side was lost in a non-clean fashion: "
        "reset by peer."
    )
    assert failure_text(Failure(ConnectError(111, "refused"))) == "An error occurred while connecting: 111: refused."
