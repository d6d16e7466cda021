"""A request with an idempotency key is retried only while the servers still know its key."""

from tests.support.router_process import OK_FIELDS, is_connecting
from tests.support.running_router import wait_until

SYN_RETRY_S = 1.0  # Seconds after which the system retries a connect to a listener whose queue was full.


def ask_and_lose_first_attempt(stand, window_s):
    """Lose the first attempt; the connection for the retry comes up only after SYN_RETRY_S."""

    def use_idempotency_key(conf):
        conf["classes"][1].update(effect="token", group="all", windowMs=int(window_s * 1000), onTimeMs=2900)
        conf["limits"]["connectTimeoutMs"] = 3000

    made = stand(change=use_idempotency_key)
    client = made.client()
    call = client.ask("results", b"mark", budget="3000", token="d266bfacf2dce431")
    first = made.accept_connection(1).next_request()
    late = made.stop_accepting(1)
    first.connection.socket.close()  # The request may have run.
    origin_port = made.listeners[1].getsockname()[1]
    wait_until(lambda: is_connecting(made.router.child.pid, origin_port))
    return made, client, call, late()


def test_retry_when_its_connection_comes_up_after_the_window_is_not_sent(stand):
    """A retry was decided within the window and written after it; the servers no longer dropped it, so it ran twice."""
    made, client, call, connection = ask_and_lose_first_attempt(stand, SYN_RETRY_S - 0.3)
    assert client.answer(call)[2] is not None  # The request was rejected or failed.
    made.router.close()
    assert connection.next_request() is None


def test_retry_when_its_connection_comes_up_within_the_window_is_sent(stand):
    """The limit on late retries must not stop retries that are in time."""
    _, client, call, connection = ask_and_lose_first_attempt(stand, SYN_RETRY_S + 1.5)
    connection.next_request().answer("OK", OK_FIELDS, b"mark")
    assert client.answer(call)[2] is None
