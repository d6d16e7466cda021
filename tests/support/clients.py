"""Clients that wait, and deployments that have served before."""

from tests.support.router_process import OK_FIELDS


def set_long_timeouts(conf):
    """Connections may take long to come up, and results are worth waiting for."""
    conf["limits"]["connectTimeoutMs"] = 9000
    conf["classes"][1]["onTimeMs"] = 2900


def open_idle_connection(made, client, place=0):
    """The machine's connection, up and idle."""
    call = client.ask("pages" if place == 0 else "results", block="7")
    line = made.accept_connection(place)
    line.next_request().answer("OK", OK_FIELDS, b"x")
    assert client.answer(call)[2] is None
    return line
