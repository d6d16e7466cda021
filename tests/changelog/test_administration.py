"""The change log: what an operator asks a replica or a relay."""

import msgspec
import pytest

from tests.support.changelog_endpoints import (
    NEXT_KEY,
    REPLICAS,
    THERE,
    entry,
    relay_endpoint,
    replica_endpoint,
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
    """A replica node that takes proposals when told so."""

    def __init__(self, sockets):
        self.node = replica_endpoint(sockets, MemoryStorage())
        self.desk = Administration(self.node, [KEY], 0.5, wall_clock=lambda: 1000.0)
        self.proposed = []

    def lead(self):
        def propose(change, now):
            self.proposed.append(change)
            return [Accepted(len(self.proposed), 1)]

        self.node.state_machine.propose = propose

    def ask(self, word, more=b"", address=THERE, key=KEY):
        """As a command does: the first answer is the cookie."""
        asking = StatusClient(key, "a", 7, word, more)
        for _ in range(2):
            before = len(self.node.reactor.sent)
            self.node.datagramReceived(asking.datagram(), address)
            for data, to in self.node.reactor.sent[before:]:
                assert to == address
                asking.receive(data)
        return asking.answer()

    def append(self, change, request_id=b"i" * 16):
        more = msgspec.msgpack.encode(AppendRequest(request_id, encode_change(change)))
        return msgspec.json.decode(self.ask(APPEND_COMMAND, more), type=AppendAnswer)


@pytest.fixture
def leader(sockets):
    return Leader(sockets)


def test_append_when_asked_again_with_the_same_id_appends_once(leader):
    leader.lead()
    change = Purge(5, 0, 0)
    assert leader.append(change).state is AppendState.WAITING
    assert leader.append(change).state is AppendState.WAITING
    assert leader.proposed == [Purge(5, 0, 1_000_000)]  # stamped by the leader
    leader.node.perform_role_effect(Committed((entry(1, leader.proposed[0]),)))
    answer = leader.append(change)
    assert (answer.state, answer.number, answer.stamp_ms) == (AppendState.COMMITTED, 1, 1_000_000)
    leader.append(change, b"j" * 16)
    assert len(leader.proposed) == 2


def test_append_when_not_committed_in_time_has_failed(leader, sockets):
    leader.lead()
    leader.append(Purge(5, 0, 0))
    sockets.run(0.6)
    assert leader.append(Purge(5, 0, 0)).state is AppendState.FAILED


def test_append_when_asked_of_another_replica_names_the_leader(leader):
    def refuse(change, now):
        raise NotLeaderError("b")

    leader.node.state_machine.propose = refuse
    answer = leader.append(Purge(5, 0, 0))
    assert (answer.state, answer.leader) == (AppendState.NOT_LEADER, "b")


@pytest.mark.parametrize(
    "more",
    [
        b"",
        b"\xff",
        msgspec.msgpack.encode((b"short", encode_change(Noop()))),
        msgspec.msgpack.encode((b"i" * 16, b"\x07")),
    ],
)
def test_append_when_malformed_is_refused(leader, more):
    leader.lead()
    answer = msgspec.json.decode(leader.ask(APPEND_COMMAND, more), type=AppendAnswer)
    assert answer.state is AppendState.REFUSED and answer.reason and not leader.proposed


def test_question_when_under_another_key_or_without_the_cookie_does_nothing(leader):
    leader.lead()
    assert leader.ask(STATUS_COMMAND, key=NEXT_KEY) is None
    more = msgspec.msgpack.encode(AppendRequest(b"i" * 16, encode_change(Purge(5, 0, 0))))
    asking = StatusClient(KEY, "a", 7, APPEND_COMMAND, more)
    leader.node.datagramReceived(asking.datagram(), THERE)
    assert leader.proposed == []


def test_status_and_rows_when_asked_describe_the_replica(leader):
    status = msgspec.json.decode(leader.ask(STATUS_COMMAND), type=Status)
    assert (status.name, status.role, status.state, status.age_s) == ("a", "replica", "follower", None)
    for first in (b"0", b"5", b"-3"):
        page = msgspec.msgpack.decode(leader.ask(ROWS_COMMAND, first), type=RowsPage)
        assert (page.total, page.rows) == (0, [])
    assert b"error" in leader.ask(ROWS_COMMAND, b"x")


def test_relay_when_asked_to_append_has_no_such_word(sockets):
    node = relay_endpoint(sockets)
    desk = Administration(node, [KEY], 0.5)
    assert APPEND_COMMAND not in desk._servers[0].command_names and desk.status().source in REPLICAS
