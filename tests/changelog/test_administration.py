"""Administration of replicas and relays: an operator's requests."""

import msgspec
import pytest

from tests.support.changelog_endpoints import (
    ADDRESS_B,
    NEXT_KEY,
    REPLICAS,
    entry,
    start_relay_endpoint,
    start_replica_endpoint,
)
from tests.support.changelog_log import KEY
from wickhinge.changelog.administration import (
    APPEND_COMMAND,
    ROWS_COMMAND,
    STATUS_COMMAND,
    Administration,
    AppendAnswer,
    AppendRequest,
    AppendState,
    RowsPage,
    Status,
)
from wickhinge.changelog.effects import Accepted, Committed
from wickhinge.changelog.entries import Noop, Purge, encode_change
from wickhinge.changelog.errors import NotLeaderError
from wickhinge.changelog.storage import MemoryStorage
from wickhinge.peers.status_client import StatusClient


class Leader:
    """Replica endpoint with its administration, which accepts proposals after `accept_proposals`."""

    def __init__(self, reactor):
        self.endpoint = start_replica_endpoint(reactor, MemoryStorage())
        self.administration = Administration(self.endpoint, [KEY], 0.5, wall_clock=lambda: 1000.0)
        self.proposed_changes = []

    def accept_proposals(self):
        def propose(change, now):
            self.proposed_changes.append(change)
            return [Accepted(len(self.proposed_changes), 1)]

        self.endpoint.state_machine.propose = propose

    def send_request(self, command, payload=b"", address=ADDRESS_B, key=KEY):
        """Send a request twice as the command line does: the first answer is the cookie, the second one the result."""
        client = StatusClient(key, "a", 7, command, payload)
        for _ in range(2):
            sent_count = len(self.endpoint.reactor.sent_datagrams)
            self.endpoint.datagramReceived(client.request_datagram(), address)
            for data, to in self.endpoint.reactor.sent_datagrams[sent_count:]:
                assert to == address
                client.receive(data)
        return client.complete_answer()

    def append(self, change, request_id=b"i" * 16):
        payload = msgspec.msgpack.encode(AppendRequest(request_id, encode_change(change)))
        return msgspec.json.decode(self.send_request(APPEND_COMMAND, payload), type=AppendAnswer)


@pytest.fixture
def leader(reactor):
    return Leader(reactor)


def test_append_when_repeated_with_the_same_id_appends_once(leader):
    leader.accept_proposals()
    change = Purge(5, 0, 0)
    assert leader.append(change).state is AppendState.WAITING
    assert leader.append(change).state is AppendState.WAITING
    assert leader.proposed_changes == [Purge(5, 0, 1_000_000)]  # The leader has set the stamp.
    leader.endpoint.perform_role_effect(Committed((entry(1, leader.proposed_changes[0]),)))
    answer = leader.append(change)
    assert (answer.state, answer.number, answer.stamp_ms) == (AppendState.COMMITTED, 1, 1_000_000)
    leader.append(change, b"j" * 16)
    assert len(leader.proposed_changes) == 2


def test_append_when_not_committed_in_time_has_failed(leader, reactor):
    leader.accept_proposals()
    leader.append(Purge(5, 0, 0))
    reactor.run(0.6)
    assert leader.append(Purge(5, 0, 0)).state is AppendState.FAILED


def test_append_when_sent_to_another_replica_names_the_leader(leader):
    def refuse(change, now):
        raise NotLeaderError("b")

    leader.endpoint.state_machine.propose = refuse
    answer = leader.append(Purge(5, 0, 0))
    assert (answer.state, answer.leader) == (AppendState.NOT_LEADER, "b")


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\xff",
        msgspec.msgpack.encode((b"short", encode_change(Noop()))),
        msgspec.msgpack.encode((b"i" * 16, b"\x07")),
    ],
)
def test_append_when_malformed_is_refused(leader, payload):
    leader.accept_proposals()
    answer = msgspec.json.decode(leader.send_request(APPEND_COMMAND, payload), type=AppendAnswer)
    assert answer.state is AppendState.REFUSED and answer.reason and not leader.proposed_changes


def test_request_when_under_another_key_or_without_the_cookie_does_nothing(leader):
    leader.accept_proposals()
    assert leader.send_request(STATUS_COMMAND, key=NEXT_KEY) is None
    payload = msgspec.msgpack.encode(AppendRequest(b"i" * 16, encode_change(Purge(5, 0, 0))))
    client = StatusClient(KEY, "a", 7, APPEND_COMMAND, payload)
    leader.endpoint.datagramReceived(client.request_datagram(), ADDRESS_B)
    assert leader.proposed_changes == []


def test_status_and_rows_when_requested_describe_the_replica(leader):
    status = msgspec.json.decode(leader.send_request(STATUS_COMMAND), type=Status)
    assert (status.name, status.role, status.state, status.age_s) == ("a", "replica", "follower", None)
    for first in (b"0", b"5", b"-3"):
        page = msgspec.msgpack.decode(leader.send_request(ROWS_COMMAND, first), type=RowsPage)
        assert (page.total, page.rows) == (0, [])
    assert b"error" in leader.send_request(ROWS_COMMAND, b"x")


def test_relay_when_started_has_no_append_command(reactor):
    endpoint = start_relay_endpoint(reactor)
    administration = Administration(endpoint, [KEY], 0.5)
    assert APPEND_COMMAND not in administration._servers[0].command_names and administration.status().source in REPLICAS
