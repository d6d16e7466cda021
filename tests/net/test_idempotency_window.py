"""A request with an idempotency key is repeated only while the servers still know its key."""

from tests.support.router_process import OK_FIELDS, is_connecting
from tests.support.running_router import wait_until

SYN_RETRY_S = 1.0  # until the system tries again to connect to a listener that was full


def ask_and_fail(stand, window_s):
    """The first attempt fails as no other connection to the origin comes up before a second is over."""

    def keyed(conf):
        conf["classes"][1].update(effect="token", group="all", windowMs=int(window_s * 1000), onTimeMs=2900)
        conf["limits"]["connectTimeoutMs"] = 3000

    made = stand(change=keyed)
    client = made.client()
    call = client.ask("results", b"mark", budget="3000", token="d266bfacf2dce431")
    first = made.accept_connection(1).next_request()
    late = made.stop_accepting(1)
    first.connection.socket.close()  # it may have run
    origin_port = made.listeners[1].getsockname()[1]
    wait_until(lambda: is_connecting(made.router.child.pid, origin_port))
    return made, client, call, late()


def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent(stand):
    """Decided in the window and written after it, a repeat that the servers no longer drop ran a second time."""
    made, client, call, connection = ask_and_fail(stand, SYN_RETRY_S - 0.3)
    assert client.answer(call)[2] is not None  # rejected or failed
    made.router.close()
    assert connection.next_request() is None


def test_a_repeat_whose_connection_comes_up_within_the_window_is_sent(stand):
    """The bound on late repeats must not stop those in time."""
    _, client, call, connection = ask_and_fail(stand, SYN_RETRY_S + 1.5)
    connection.next_request().answer("OK", OK_FIELDS, b"mark")
    assert client.answer(call)[2] is None
