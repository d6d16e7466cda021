"""What the log says of connections to servers that were lost.

What was seen before: the `reason` of `upstream_connection_lost` held `[Failure instance: Traceback: <class ...` and
line numbers of Twisted's files in 10 of 60 runs. Where a connection ends while it is coming up, Twisted's ConnectError
carries the Failure that ended it in place of a text, and the text of such an error is that of the object.
"""

import json

from twisted.internet.error import ConnectError, ConnectionLost
from twisted.python.failure import Failure

from wickhinge.common.connector import failure_text


def test_a_refused_connection_is_told_in_words(stand):
    made = stand()
    made.listeners[0].close()
    client = made.client()
    client.ask("pages")
    reason = json.loads(made.router.wait('"event":"upstream_connection_lost"'))["reason"]
    assert "Failure" not in reason and "Traceback" not in reason and "\n" not in reason
    assert "connect" in reason.lower()


def test_the_text_of_a_failure_is_that_of_the_errors_within():
    cause = Failure(ConnectionLost("reset by peer"))
    text = failure_text(Failure(ConnectError(string=cause)))
    assert (
        text == "An error occurred while connecting: Connection to the other side was lost in a non-clean fashion: "
        "reset by peer."
    )
    assert failure_text(Failure(ConnectError(111, "refused"))) == "An error occurred while connecting: 111: refused."
