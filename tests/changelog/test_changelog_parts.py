"""The change log's parts around its state machines, without processes: addresses, proposals, settings, nodes."""

import errno
from types import SimpleNamespace

import msgspec
import pytest

from wickhinge.changelog.addresses import MOST_LEARNED, QUIET_S, AddressBook
from wickhinge.changelog.administration import (
    APPEND,
    ROWS,
    STATUS,
    Administration,
    AppendAnswer,
    AppendRequest,
    AppendState,
    RowsPage,
    Status,
)
from wickhinge.changelog.codec import Codec
from wickhinge.changelog.echo import COUNTER_BITS
from wickhinge.changelog.effects import Accepted, Apply, Committed, Persist, Reset, Send
from wickhinge.changelog.entries import Entry, Noop, Purge, Setting, Unknown, encode
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.messages import Packet, Unsubscribe
from wickhinge.changelog.nodes import FollowerNode, RelayNode, ReplicaNode
from wickhinge.changelog.proposals import Outcome, Proposal, Proposals
from wickhinge.changelog.settings_table import SettingsTable, State, check_value
from wickhinge.changelog.storage import MemoryStorage
from wickhinge.changelog.stored import NotLeader
from wickhinge.fields import Malformed
from wickhinge.net.control.changelog_client import ChangelogClient
from wickhinge.net.upstream.local_copies import LocalCopies
from wickhinge.options import Fault
from wickhinge.options.load import check
from wickhinge.peers.status_client import StatusClient
from wickhinge.routing.purges import Purges

HERE, THERE, ELSEWHERE = ("10.0.0.1", 1), ("10.0.0.2", 2), ("10.0.0.3", 3)
KEY, NEXT_KEY = b"k" * 32, b"n" * 32
REPLICAS = {"a": HERE, "b": THERE, "c": ELSEWHERE}


# Addresses.


def token(session, count):
    return session << COUNTER_BITS | count


def test_an_address_of_the_settings_is_never_learned():
    book = AddressBook({"a": HERE})
    book.heard("a", THERE, token(1, 1), 0.0)
    assert (book.of("a"), book.of("b")) == (HERE, None)


@pytest.mark.parametrize(
    "session, count, after, found",
    [
        (1, 6, 0.1, THERE),  # the process itself moved: behind another translation of addresses
        (1, 5, 0.1, HERE),  # recorded and sent again
        (1, 4, 0.1, HERE),
        (2, 1, 0.1, HERE),  # of an earlier life
        (2, 1, QUIET_S + 0.1, THERE),  # a new life
        (1, 3, QUIET_S + 0.1, HERE),
        (1, 0, 9.0, HERE),  # no token: a plain answer
    ],
)
def test_a_recorded_packet_draws_nothing_to_where_it_is_sent_from(session, count, after, found):
    book = AddressBook({})
    book.heard("n", HERE, token(1, 5), 10.0)
    book.heard("n", THERE, token(session, count) if count else 0, 10.0 + after)
    assert book.of("n") == found


def test_a_recorded_packet_sent_often_does_not_keep_a_name_from_its_new_life():
    book = AddressBook({})
    book.heard("n", HERE, token(1, 5), 0.0)
    for tenth in range(100):
        book.heard("n", THERE, token(1, 5), tenth / 10)
    book.heard("n", ELSEWHERE, token(2, 1), 10.0)
    book.heard("n", THERE, token(1, 6), 20.0)  # of the life before
    assert book.of("n") == ELSEWHERE


def test_learned_addresses_are_bounded_and_forgotten():
    book = AddressBook({})
    for number in range(MOST_LEARNED + 5):
        book.heard(f"n{number}", HERE, token(1, 1), 0.0)
    assert book.of(f"n{MOST_LEARNED - 1}") == HERE and book.of(f"n{MOST_LEARNED}") is None
    book.heard("late", HERE, token(1, 1), QUIET_S + 1)
    assert book.of("late") == HERE and book.of("n0") is None


# Proposals.


def entry(number, change):
    return Entry(1, number, change)


def test_a_proposal_is_resolved_once_by_what_has_its_number():
    found, proposals = [], Proposals()
    for number, change in ((1, Purge(1, 0, 5)), (2, Purge(2, 0, 5)), (3, Purge(3, 0, 5))):
        proposals.add(number, Proposal(change, 1.0, lambda outcome, number=number: found.append((number, outcome))))
    proposals.committed((entry(1, Purge(1, 0, 5)), entry(2, Noop())))
    proposals.committed((entry(1, Purge(1, 0, 5)),))
    proposals.tick(0.9)
    assert found == [(1, Outcome.COMMITTED), (2, Outcome.OVERTAKEN)]
    proposals.add(3, Proposal(Noop(), 2.0, lambda outcome: found.append(("3 again", outcome))))
    proposals.tick(1.5)
    proposals.tick(2.0)
    assert found[2:] == [(3, Outcome.OVERTAKEN), ("3 again", Outcome.TIMED_OUT)] and len(proposals) == 0


# Settings in force.


@pytest.fixture
def table():
    made = SettingsTable(lambda event, **fields: made.told.append((event, fields.get("name"))))
    made.told, made.addresses = [], []
    made.subscribe("journal", made.addresses.append)
    return made


def test_a_setting_that_does_not_fit_leaves_the_old_one_in_force(table):
    table.put(Setting("journal", b"10.0.0.1:7", 1))
    row = table.put(Setting("journal", b"\xff\xfe:7", 2))
    assert row.state is State.REFUSED and "is not an address" in row.why
    assert table.addresses == [("10.0.0.1", 7)]
    assert table.put(Setting("later", b"", 3)).state is State.UNKNOWN
    assert [name for name in table.rows] == ["journal", "later"]


def test_a_whole_log_tells_each_setting_that_changed(table):
    table.replace((Setting("journal", b"10.0.0.1:7", 1), Setting("later", b"1", 1)))
    table.replace((Setting("journal", b"10.0.0.1:7", 1),))
    table.replace((Setting("journal", b"10.0.0.1:8", 2),))
    assert table.addresses == [("10.0.0.1", 7), ("10.0.0.1", 8)]
    assert ("changelog_setting_gone", "later") in table.told and list(table.rows) == ["journal"]


def test_the_command_line_checks_what_it_knows():
    check_value("journal", b"10.0.0.1:7")
    check_value("later", b"anything")
    with pytest.raises(Malformed, match="is not an address"):
        check_value("journal", b"10.0.0.1")


# The settings' file.

ON = 'changelog: {mode: "on", key_file: "/k", relays: [{name: "l", address: "10.0.0.1:7"}]'


@pytest.mark.parametrize(
    "text, told",
    [
        ('changelog: mode: "on"', "x: changelog.key_file: is missing"),
        ('changelog: {mode: "on", key_file: "/k"}', "x: changelog.relays: is empty"),
        (ON + ", grace_s: 3.7}", "x: changelog.grace_s: 3.7 is under 3.83"),
        (ON + ', bind: "here"}', "x: changelog.bind: 'here' is not an address"),
        ('changelog: relays: [{name: "l", address: "x"}]', "x: changelog.relays[0].address: 'x' is not an address"),
        (
            'changelog: replicas: [{name: "r", address: "10.0.0.1:7"}, {name: "r", address: "10.0.0.2:7"}]',
            "x: changelog.replicas[1].name: 'r' stands twice",
        ),
        (f'changelog: relays: [{{name: "{"l" * 33}", address: "10.0.0.1:7"}}]', "relays[0].name: "),
        (ON + ', replicas: [{name: "l", address: "10.0.0.2:7"}]}', "x: changelog.relays: l is a replica's name, too"),
        ("changelog: bound_s: 0.1", "changelog.bound_s: 0.1 is not >= 0.5"),
    ],
)
def test_a_fault_of_the_settings_names_the_key(text, told):
    with pytest.raises(Fault) as caught:
        check(text, "x")
    assert told in str(caught.value)


def test_what_is_given_is_taken_and_off_is_the_default():
    assert check("", "x").changelog.mode == "off"
    found = check(ON + "}", "x").changelog
    assert (found.mode, found.bound_s, found.grace_s, found.relays[0].name) == ("on", 3.1, 6, "l")


# Nodes, with sockets and clock by hand.


class Sockets:
    """A reactor of one node: what it sends is in `sent`, and nothing moves by itself."""

    def __init__(self):
        self.now, self.sent, self.calls, self.failing = 0.0, [], [], None

    def listenUDP(self, port, protocol, interface, maxPacketSize):
        protocol.transport = self
        return self

    def getHost(self):
        return self

    port = 7000

    def stopListening(self):
        return None

    def write(self, datagram, address):
        if self.failing:
            raise OSError(self.failing, "planted")
        self.sent.append((datagram, address))

    def callLater(self, delay, call):
        self.calls.append((self.now + delay, call))
        return self

    def active(self):
        return False

    def run(self, until):
        while self.calls and min(self.calls, key=lambda one: one[0])[0] <= until:
            due = min(self.calls, key=lambda one: one[0])
            self.calls.remove(due)
            self.now = due[0]
            due[1]()
        self.now = until

    def clock(self):
        return self.now


def started(made):
    made.start()
    return made


@pytest.fixture
def sockets():
    return Sockets()


def relay_node(sockets, keys=(KEY,)):
    return started(RelayNode("l", HERE, REPLICAS, keys, sockets, clock=sockets.clock))


def follower_node(sockets, **more):
    told = {"on_apply": lambda entry: None, "on_reset": lambda snapshot: None, **more}
    return started(FollowerNode("n", HERE, {"l": THERE}, [KEY], sockets, clock=sockets.clock, **told))


def replica_node(sockets, storage, **more):
    return started(ReplicaNode("a", REPLICAS, {}, [KEY], sockets, storage, clock=sockets.clock, **more))


def datagram(key, sender="b", to="l"):
    return Codec(key, sender).encode(to, Packet(sender, 2, 2, 0, 0, 0, Unsubscribe()))


def test_during_a_change_of_keys_both_are_read_and_the_first_is_written_under(sockets):
    node = relay_node(sockets)
    node.datagramReceived(datagram(NEXT_KEY), THERE)
    assert node.counters.unreadable == 1
    node.use_keys([NEXT_KEY, KEY])
    node.datagramReceived(datagram(NEXT_KEY), THERE)
    node.datagramReceived(datagram(KEY), THERE)
    assert node.counters.unreadable == 1
    sockets.sent.clear()
    sockets.run(5.0)
    assert sockets.sent and all(Codec(NEXT_KEY, "a").decode(data) for data, to in sockets.sent if to == HERE)


def test_a_full_socket_loses_a_datagram_and_nothing_else(sockets):
    node = relay_node(sockets)
    sockets.failing = errno.EAGAIN
    sockets.run(1.0)
    unsent = node.counters.unsent
    assert unsent > 0 and not node.faults
    sockets.failing = None
    sockets.sent.clear()
    sockets.run(3.0)
    assert node.counters.unsent == unsent and sockets.sent


def test_a_node_ticks_at_its_pace_and_makes_up_for_nothing(sockets):
    node = relay_node(sockets)
    ticks = []
    node.ticked = ticks.append
    sockets.run(1.001)
    assert len(ticks) in (20, 21)
    calls, sockets.calls = sockets.calls, []
    sockets.now = 9.0  # the process stood still
    calls[0][1]()
    sockets.run(9.101)
    assert [now for now in ticks if now >= 9.0] == pytest.approx([9.0, 9.05, 9.1])


def test_a_flood_between_two_ticks_is_left_unread(sockets, monkeypatch):
    monkeypatch.setattr("wickhinge.changelog.nodes.MOST_A_TICK", 10)
    node = relay_node(sockets)
    for _ in range(25):
        node.datagramReceived(b"x", THERE)
    assert (node.counters.left, node.counters.unreadable) == (15, 10)
    sockets.run(0.06)
    node.datagramReceived(b"x", THERE)
    assert node.counters.left == 15


def test_a_subscriber_that_fails_leaves_the_follower_uninformed(sockets):
    def fail(entry):
        raise ValueError("planted")

    events = []
    node = follower_node(sockets, on_apply=fail, log=lambda event, **fields: events.append(event))
    node.machine.uninformed = lambda now: bool(node.machine.not_understood)
    node.perform([Send("l", Packet("n", 2, 2, 0, 0, 0, Unsubscribe()))])
    assert not node.machine.uninformed(0.0)
    node.perform([Apply(entry(1, Noop()))])
    assert node.machine.uninformed(0.0) and events == ["changelog_fault"] and node.faults == 1


def test_a_defect_in_a_packets_handling_stops_neither_the_timer_nor_later_packets(sockets):
    node = relay_node(sockets)

    def fail(*given):
        raise ValueError("planted")

    heard, node.machine.heard = node.machine.heard, fail
    node.datagramReceived(datagram(KEY), THERE)
    assert node.faults == 1
    node.machine.heard = heard
    tick, node.machine.tick = node.machine.tick, fail
    sockets.run(0.2)
    node.machine.tick = tick
    sockets.sent.clear()
    sockets.run(3.0)
    assert node.faults > 2 and sockets.sent


class FailingStorage(MemoryStorage):
    def persist(self, effect):
        raise MemoryError("planted")


def test_nothing_is_sent_after_what_was_not_stored(sockets):
    """Also where it fails by a defect of ours."""
    failures = []
    node = replica_node(sockets, FailingStorage(), on_failure=failures.append)
    packet = Packet("a", 2, 2, 0, 0, 0, Unsubscribe())
    sockets.sent.clear()
    node.perform([Send("b", packet), Persist(1, 1, "b", 0, ()), Send("b", packet)])
    assert (len(sockets.sent), len(failures), node.closed) == (1, 1, True)
    node.perform([Send("b", packet)])
    node.write(b"x", THERE)
    sockets.run(5.0)
    assert len(sockets.sent) == 1


def test_a_follower_that_closes_tells_its_relays(sockets):
    node = follower_node(sockets)
    sockets.sent.clear()
    node.close()
    assert isinstance(Codec(KEY, "l").decode(sockets.sent[0][0]).message, Unsubscribe)


def test_what_was_found_of_the_limit_is_kept_until_something_is_heard(sockets):
    node = follower_node(sockets)
    node.machine.unlimited_until = lambda now, grace: 5.0
    assert node.oldest(6.0) is None
    asked = []
    node.machine.unlimited_until = lambda now, grace: asked.append(grace) or 5.0
    sockets.now = 4.9
    assert node.oldest(6.0) is None and asked == []
    assert node.oldest(7.0) is None and asked == [7.0]
    node.perform([])
    assert node.oldest(7.0) is None and asked == [7.0, 7.0]
    sockets.now = 5.0
    assert node.oldest(7.0) == pytest.approx(0.94 * 7 - 0.001) and len(asked) == 3


# What an operator asks.


class Leader:
    """A replica node that takes proposals when told so."""

    def __init__(self, sockets):
        self.node = replica_node(sockets, MemoryStorage())
        self.desk = Administration(self.node, [KEY], 0.5, wall_clock=lambda: 1000.0)
        self.proposed = []

    def lead(self):
        def propose(change, now):
            self.proposed.append(change)
            return [Accepted(len(self.proposed), 1)]

        self.node.machine.propose = propose

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
        more = msgspec.msgpack.encode(AppendRequest(request_id, encode(change)))
        return msgspec.json.decode(self.ask(APPEND, more), type=AppendAnswer)


@pytest.fixture
def leader(sockets):
    return Leader(sockets)


def test_a_change_is_appended_once_however_often_it_is_asked(leader):
    leader.lead()
    change = Purge(5, 0, 0)
    assert leader.append(change).state is AppendState.WAITING
    assert leader.append(change).state is AppendState.WAITING
    assert leader.proposed == [Purge(5, 0, 1_000_000)]  # stamped by the leader
    leader.node.do(Committed((entry(1, leader.proposed[0]),)))
    answer = leader.append(change)
    assert (answer.state, answer.number, answer.stamp_ms) == (AppendState.COMMITTED, 1, 1_000_000)
    leader.append(change, b"j" * 16)
    assert len(leader.proposed) == 2


def test_what_is_not_committed_within_the_ingest_time_has_failed(leader, sockets):
    leader.lead()
    leader.append(Purge(5, 0, 0))
    sockets.run(0.6)
    assert leader.append(Purge(5, 0, 0)).state is AppendState.FAILED


def test_another_replica_says_who_leads(leader):
    def refuse(change, now):
        raise NotLeader("b")

    leader.node.machine.propose = refuse
    answer = leader.append(Purge(5, 0, 0))
    assert (answer.state, answer.leader) == (AppendState.NOT_LEADER, "b")


@pytest.mark.parametrize(
    "more",
    [b"", b"\xff", msgspec.msgpack.encode((b"short", encode(Noop()))), msgspec.msgpack.encode((b"i" * 16, b"\x07"))],
)
def test_what_is_no_request_is_refused(leader, more):
    leader.lead()
    answer = msgspec.json.decode(leader.ask(APPEND, more), type=AppendAnswer)
    assert answer.state is AppendState.REFUSED and answer.why and not leader.proposed


def test_asks_under_another_key_or_without_the_cookie_do_nothing(leader):
    leader.lead()
    assert leader.ask(STATUS, key=NEXT_KEY) is None
    more = msgspec.msgpack.encode(AppendRequest(b"i" * 16, encode(Purge(5, 0, 0))))
    asking = StatusClient(KEY, "a", 7, APPEND, more)
    leader.node.datagramReceived(asking.datagram(), THERE)
    assert leader.proposed == []


def test_status_and_rows(leader):
    status = msgspec.json.decode(leader.ask(STATUS), type=Status)
    assert (status.name, status.role, status.state, status.age_s) == ("a", "replica", "follower", None)
    for first in (b"0", b"5", b"-3"):
        page = msgspec.msgpack.decode(leader.ask(ROWS, first), type=RowsPage)
        assert (page.total, page.rows) == (0, [])
    assert b"error" in leader.ask(ROWS, b"x")


def test_a_relay_appends_nothing(sockets):
    node = relay_node(sockets)
    desk = Administration(node, [KEY], 0.5)
    assert APPEND not in desk._desks[0].command_names and desk.status().source in REPLICAS


# The router's wiring.


@pytest.fixture
def changes(sockets, tmp_path):
    (tmp_path / "key").write_bytes(KEY)
    options = check(ON.replace("/k", str(tmp_path / "key")) + "}", "x").changelog
    told = []
    store = SimpleNamespace(record_request=None, find=None, is_valid=None, is_current=lambda copy, now: copy.made > 0)
    node = SimpleNamespace(
        reactor=sockets,
        deadlines=SimpleNamespace(after=sockets.callLater),
        log=SimpleNamespace(event=lambda event, **fields: told.append(event)),
        router=SimpleNamespace(purges=Purges(6.0)),
        copies=LocalCopies(store, None, None, None, 0.1, None, SimpleNamespace(earliest=lambda made, now: made)),
        forwards=SimpleNamespace(overtaken=lambda holds: told.append(holds)),
        move_endpoint_watch=lambda address: told.append(address),
        updates=SimpleNamespace(
            purge=lambda *given: told.append(given), record_purge=lambda *given: told.append(given)
        ),
    )
    made = ChangelogClient(options, "n1", node)
    made.node, made.told, made.options = node, told, options
    return made


def test_own_copies_are_vouched_for_within_the_limit_alone(changes):
    young, old, unproven = (SimpleNamespace(made=made) for made in (999.0, 990.0, 0.0))
    is_current = changes.node.copies.is_current
    assert [is_current(copy, 1000.0) for copy in (young, old, unproven)] == [True, False, False]
    changes.follower.oldest = lambda grace: None
    assert [is_current(copy, 1000.0) for copy in (young, old, unproven)] == [True, True, False]


def test_the_limit_is_a_duration_whatever_the_time_of_day_is(changes):
    purges = changes.node.router.purges
    assert purges.oldest(1, 0, 0.0) == purges.oldest(1, 0, 2e9) == pytest.approx(0.94 * 6 - 0.001)


def test_purges_and_settings_go_where_they_belong_and_others_nowhere(changes):
    for number, change in enumerate(
        (Noop(), Purge(7, 3, 5), Setting("journal", b"10.0.0.1:7", 1), Unknown(20, False, b""))
    ):
        changes.follower.do(Apply(entry(number + 1, change)))
    assert changes.told == [(7, 3, 5, 0), ("10.0.0.1", 7), "changelog_setting"]


def test_a_snapshots_purges_are_taken_together_and_overtake_what_waits(changes):
    changes.follower.do(Reset(Snapshot(1, 9, b"d" * 8, (), (Purge(7, 3, 5), Purge(None, 4, 6)))))
    assert changes.told[:2] == [(7, 3, 5, 0), (None, 4, 6, 0)] and changes.told[3] == "changelog_reset"
    waiting = [
        SimpleNamespace(forward=SimpleNamespace(visit=SimpleNamespace(item=SimpleNamespace(key=key), group=group)))
        for key, group in ((7, 0), (8, 4), (8, 3))
    ]
    assert [changes.told[2](sent) for sent in waiting] == [False, False, True]


def test_what_waits_to_be_written_is_decided_anew_once_ages_are_limited(changes):
    changes.follower.oldest = lambda grace: None
    changes.follower.ticked(0.0)
    changes.told.clear()
    changes.follower.oldest = lambda grace: 5.0
    changes.follower.ticked(0.0)
    changes.follower.ticked(0.0)
    holds, event = changes.told
    assert event == "changelog_uninformed"
    assert not holds(
        SimpleNamespace(forward=SimpleNamespace(visit=SimpleNamespace(request_class=SimpleNamespace(pass_through=0))))
    )


def test_only_keys_change_while_running(changes):
    assert changes.keys_in(changes.options) == [KEY]
    with pytest.raises(Malformed, match="changelog.grace_s: changes at a restart only"):
        changes.keys_in(msgspec.structs.replace(changes.options, grace_s=9.0))
    with pytest.raises(Malformed, match="changelog.key_file: /nowhere can't be read"):
        changes.keys_in(msgspec.structs.replace(changes.options, key_file="/nowhere"))
