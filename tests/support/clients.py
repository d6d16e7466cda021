"""Settings with long timeouts, and connections of a router to a cache that have already served a request."""

from tests.support.router_process import OK_FIELDS


def set_long_timeouts(config):
    """Allow connections 9 s to open, and give the class `results` 2.9 s until its answers count as late."""
    config["limits"]["connectTimeoutMs"] = 9000
    config["classes"][1]["onTimeMs"] = 2900


def open_idle_connection(router, client, server_index=0):
    """Return the router's connection to a server after it has served one request; it is open and idle."""
    call = client.ask("pages" if server_index == 0 else "results", block="7")
    connection = router.accept_connection(server_index)
    connection.next_request().answer("OK", OK_FIELDS, b"x")
    assert client.answer(call)[2] is None
    return connection
