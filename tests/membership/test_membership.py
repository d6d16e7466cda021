"""Starts without discovery: what is believed of whom, when, and what becomes of it when the service returns."""

import errno
from types import SimpleNamespace

import pytest

from tests.support.connections import reading
from tests.support.faulty_disk import Crash, Disk
from tests.support.routing import end, listing, router, take, tariff
from wickhinge.decide import Chance
from wickhinge.interface import Effect, Outcome
from wickhinge.membership import list_exchange, stored_list
from wickhinge.membership.backoff import AddressBackoff
from wickhinge.membership.comparison import compare
from wickhinge.membership.controller import MembershipController, MembershipSettings
from wickhinge.membership.endpoint_list_file import EndpointListFile
from wickhinge.membership.errors import ListDirectoryError, ListExchangeError
from wickhinge.membership.list_exchange import ReplicaAnswer
from wickhinge.membership.probation import MAX_REST_S, Probation, ProbationTerms, TrustState
from wickhinge.membership.purge_gap import PurgeGap
from wickhinge.membership.recent_purges import PurgeRecord
from wickhinge.membership.statement_table import (
    MAX_GONE_ENDPOINTS,
    EndpointState,
    ListSource,
    Statement,
    StatementTable,
)
from wickhinge.membership.stored_list import StoredList, to_record
from wickhinge.net.journal import Unreadable

DAY = 86400.0


def statement(mark, state="ready", when=100.0, source=ListSource.REMEMBERED, kind="box", port=None, zone="here"):
    address = ("127.0.0.1", port or mark)
    return Statement(mark, address, EndpointState(state), zone, kind, 0, 4.0, None, when, source)


# Statements.


@pytest.mark.parametrize(
    "first, second, state, source",
    [
        (statement(1), statement(1, when=101, source=ListSource.SIBLING), "ready", ListSource.SIBLING),
        (statement(1, when=101), statement(1, when=100, source=ListSource.SIBLING), "ready", ListSource.REMEMBERED),
        (statement(1), statement(1, source=ListSource.STATIC), "ready", ListSource.REMEMBERED),
        (
            statement(1, when=101),
            statement(1, "draining", when=50, source=ListSource.SIBLING),
            "draining",
            ListSource.SIBLING,
        ),
        (
            statement(1, "draining", when=50, source=ListSource.SIBLING),
            statement(1, when=400),
            "draining",
            ListSource.SIBLING,
        ),
        (
            statement(1, "draining", when=50, source=ListSource.SIBLING),
            statement(1, when=60, source=ListSource.LIVE),
            "ready",
            ListSource.LIVE,
        ),
        (
            statement(1, source=ListSource.LIVE),
            statement(1, "draining", when=90, source=ListSource.SIBLING),
            "ready",
            ListSource.LIVE,
        ),
        (
            statement(1, source=ListSource.LIVE),
            statement(1, "draining", when=101, source=ListSource.SIBLING),
            "draining",
            ListSource.SIBLING,
        ),
        (statement(1, source=ListSource.LIVE), statement(1, "gone", when=90, source=ListSource.SIBLING), None, None),
        (statement(1, "gone"), statement(1, when=900, source=ListSource.SIBLING), None, None),
    ],
)
def test_of_two_words_on_a_machine_one_is_in_force(first, second, state, source):
    table = StatementTable()
    table.merge(first)
    table.merge(second)
    now = table.endpoints.get(1)
    assert (now.state, now.source) == (state, source) if state else now is None


def test_a_whole_live_list_is_the_last_word_and_what_is_gone_is_bounded():
    table = StatementTable()
    for mark in (1, 2, 3):
        table.merge(statement(mark))
    table.remove(4, 90.0)
    assert table.replace_all(
        [statement(2, source=ListSource.LIVE, when=200), statement(4, source=ListSource.LIVE, when=200)], 200.0
    ) == [1, 3]
    assert set(table.endpoints) == {2, 4} and not table.merge(statement(1, when=300))
    for mark in range(10, MAX_GONE_ENDPOINTS + 50):
        table.remove(mark, 1.0)
    assert len(table.gone) == MAX_GONE_ENDPOINTS


def test_two_machines_whose_addresses_were_swapped_are_told_apart_by_their_ids():
    table = StatementTable()
    table.merge(statement(1, port=11)), table.merge(statement(2, port=22))
    table.replace_all(
        [
            statement(1, port=22, source=ListSource.LIVE, when=200),
            statement(2, port=11, source=ListSource.LIVE, when=200),
        ],
        200.0,
    )
    assert table.ids_by_address() == {("127.0.0.1", 22): [1], ("127.0.0.1", 11): [2]}


# Trust.


@pytest.mark.parametrize(
    "age, proofs, width, hint",
    [
        (1.0, 1, 6, False),
        (60.0, 1, 6, False),
        (3600.0, 2, 3, False),
        (3 * DAY, 3, 2, True),
        (None, 3, 2, True),
        (-100.0, 3, 2, True),
    ],
)
def test_an_older_list_is_trusted_less(age, proofs, width, hint):
    terms = ProbationTerms.of_age(age, 12, DAY)
    assert (terms.proofs_needed, terms.max_proving, terms.is_hint) == (proofs, width, hint)


def proving(age=1.0, count=6, routers=1):
    made = Probation(Chance(3), routers, DAY, ("parent", "origin"))
    made.adopt(
        [statement(mark) for mark in range(1, count + 1)]
        + [statement(100, kind="parent"), statement(200, kind="origin")],
        age,
        100.0,
    )
    return made


def test_machines_are_asked_a_few_at_a_time_and_caches_after_parents_where_the_list_is_old():
    made = proving(age=3600.0)
    asked = made.start_due_checks(101.0)
    assert [one.endpoint_id for one in asked][:2] in ([100, 200], [200, 100]) and len(asked) == 3
    assert made.start_due_checks(101.0) == []
    assert made.record_health_check(asked[0].endpoint_id, 101.0, healthy=True) and made.listing(
        asked[0].endpoint_id
    ) == ("ready", False)
    assert made.start_due_checks(101.0) == []  # it is in proving, and takes its place still
    (again,) = made.start_due_checks(101.7)
    assert again.endpoint_id == asked[0].endpoint_id and made.record_health_check(
        again.endpoint_id, 101.7, healthy=True
    )
    assert made.listing(again.endpoint_id) == ("ready", True)
    assert len(made.start_due_checks(101.8)) == 1


def test_a_hint_alone_never_proves_enough_for_what_has_effects():
    made = proving(age=3 * DAY)
    (one, *_) = made.start_due_checks(101.0)
    for turn in range(8):
        made.record_health_check(one.endpoint_id, 101.0 + turn, healthy=True)
    assert made.entries[one.endpoint_id].state is TrustState.PROVING
    assert (
        made.record_request(one.endpoint_id, 110.0, answered=True)
        and made.entries[one.endpoint_id].state is TrustState.PROVEN
    )


def test_what_does_not_answer_rests_longer_each_time_and_is_dropped():
    made = proving(count=1)
    now, seen = 101.0, []
    for _ in range(200):
        for one in made.start_due_checks(now):
            if one.endpoint_id == 1:
                seen.append(now)
            made.record_health_check(one.endpoint_id, now, healthy=False)
        now += 0.25
    rests = [after - before for before, after in zip(seen, seen[1:], strict=False)]
    assert len(seen) == 6 and rests == sorted(rests) and made.entries[1].state is TrustState.DROPPED
    assert made.listing(1) == ("draining", False) and max(rests) <= 2 * MAX_REST_S
    made.adopt([statement(1, when=now)], 1.0, now + 1)
    assert made.entries[1].state is TrustState.UNPROVEN


def test_a_proven_machine_that_refuses_is_taken_out_at_once_and_an_address_that_changed_proves_nothing():
    made = proving()
    (one, *_) = made.start_due_checks(101.0)
    made.record_health_check(one.endpoint_id, 101.0, healthy=True)
    assert made.record_request(one.endpoint_id, 101.1, answered=False) and made.listing(one.endpoint_id) == (
        "draining",
        False,
    )
    made.record_health_check(one.endpoint_id, 103.0, healthy=True)
    made.adopt([statement(one.endpoint_id, port=9999, when=200.0)], 1.0, 200.0)
    assert made.entries[one.endpoint_id].state is TrustState.UNPROVEN


def test_a_hundred_routers_do_not_ask_one_machine_at_once():
    times = []
    for number in range(100):
        made = Probation(Chance(number), 100, DAY, ())
        made.adopt([statement(1)], 1.0, 100.0)
        times.append(made.entries[1].due_at - 100.0)
    assert max(times) > 1.5 and max(sum(t <= u < t + 0.1 for u in times) for t in times) < 20


# The gap, backoff, comparison.


@pytest.mark.parametrize(
    "heard, untold, now, oldest",
    [
        (990.0, 0.0, 1000.0, 10.0),
        (990.0, 4.0, 1000.0, 4.0),
        (0.0, 0.0, 1000.0, 3.0),
        (1010.0, 0.0, 1000.0, 3.0),
        (1000.0, 0.0, 1000.0, 0.001),
        (None, 0.0, 1000.0, None),
        (None, 4.0, 1002.0, None),
        (None, 4.0, 1009.0, 4.0),
    ],
)
def test_copies_from_before_the_gap_are_not_asked_for(heard, untold, now, oldest):
    gap = PurgeGap(untold, 3.0)
    gap.open(heard) if heard is not None else gap.close(1000.0)
    assert gap.max_copy_age_s(now) == oldest


def test_addresses_are_tried_in_turn_and_later_each_round():
    made = AddressBackoff([("a", 1), ("b", 2)], SimpleNamespace(draw=lambda: 0.5), 0.1, 1.0)
    tries = [made.record_failure() for _ in range(12)]
    assert [where[0] for where, _ in tries[:3]] == ["b", "a", "b"]
    assert [wait for _, wait in tries[:4]] == [0.1, 0.2, 0.2, 0.4] and tries[-1][1] == 1.0
    made.record_success()
    assert made.record_failure()[1] == 0.1
    made.replace_first_address(("c", 3))
    assert [made.record_failure()[0][0] for _ in range(4)] == ["b", "c", "b", "c"]


@pytest.mark.parametrize(
    "new, doubts",
    [
        ([], "empty"),
        ([statement(1), statement(100, kind="parent", zone="hub")], "2 machines where 6"),
        ([statement(mark) for mark in range(1, 6)], "zone hub"),
        ([statement(mark) for mark in range(1, 6)] + [statement(100, kind="parent", zone="hub")], ""),
    ],
)
def test_a_list_that_is_suspiciously_small_is_told_so(new, doubts):
    old = [statement(mark) for mark in range(1, 6)] + [statement(100, kind="parent", zone="hub")]
    answer = compare(old, new)
    assert doubts in "; ".join(answer.warnings) and bool(answer.warnings) == bool(doubts)
    assert len(answer.gone) == len(old) - len(new)


# Members.


SETTINGS = MembershipSettings(
    deployment="d",
    routers=1,
    upper_kinds=("parent", "origin"),
    fallback_delay_s=0.5,
    hint_age_s=DAY,
    max_uninformed_copy_age_s=0.0,
    quiet_s=3.0,
    purge_done_s=6.0,
)


class World:
    """A controller and its port, which writes down what it is asked for."""

    def __init__(self, age=10.0, memory=True, static=()):
        self.log, self.told, self.probes, self.purges = [], {}, [], []
        self.members = MembershipController(self, Chance(1), SETTINGS)
        rows = [to_record(statement(mark, when=1000.0 - (age or 0))) for mark in range(1, 6)]
        since = 1000.0 - (age or 0)
        purges = [PurgeRecord(5, 0, 995.0)]
        self.memory = StoredList("d", since, since, 7, rows, [(9, 5.0)], purges) if memory else None
        self.members.start(self.memory, list(static), 1000.0)

    def list_endpoints(self, listings):
        for one in listings:
            self.told.setdefault(one.statement.endpoint_id, []).append((one.state, one.is_trusted))

    def check_health(self, statement):
        self.probes.append(statement)

    def recover_purge(self, purge):
        self.purges.append(purge)

    def log_event(self, event, /, **fields):
        self.log.append((event, fields))

    def prove(self, now):
        self.members.tick(now)
        self.members.tick(now + 0.1)  # none is asked in the first moment: others may start with this one
        for one in self.probes:
            self.members.record_health_check(one.endpoint_id, now, healthy=True)
        self.probes.clear()

    def sources(self):
        return [fields["source"] for event, fields in self.log if event == "membership_source_changed"]


def live(marks, now, state="ready"):
    return [statement(mark, state, now, ListSource.LIVE) for mark in marks]


def test_the_remembered_list_is_used_only_after_the_live_one_was_waited_for():
    world = World()
    world.members.tick(1000.4)
    assert not world.probes and world.sources() == [] and world.purges == [(5, 0, 995.0)]
    world.prove(1000.6)
    assert world.sources() == ["remembered"] and world.told
    for told in world.told.values():
        assert told == [("ready", False), ("ready", True)]  # it begins as one that may be cold


def test_a_live_list_in_time_leaves_the_remembered_one_unread():
    world = World()
    world.members.apply_live(live([1, 2], 1000.2), 1000.2, is_complete=True)
    world.members.tick(1002.0)
    assert world.sources() == ["live"] and not world.probes and not world.told


@pytest.mark.parametrize(
    "static, source", [((statement(1, when=0.0, source=ListSource.STATIC),), "static"), ((), None)]
)
def test_with_no_list_at_all_the_settings_are_left_or_nothing(static, source):
    world = World(memory=False, static=static)
    world.prove(1001.0)
    assert world.sources() == ([source] if source else [])


@pytest.mark.parametrize(
    "change, proofs",
    [
        ({"deployment": "other"}, None),
        ({"last_update_at": 5000.0}, 3),
        ({"written_at": 5000.0}, 3),
        ({"last_update_at": 0.0}, 3),
    ],
)
def test_a_list_of_another_deployment_is_none_and_one_from_the_future_only_a_hint(change, proofs):
    world = World(memory=False)
    rows = [to_record(statement(1))]
    world.members.start(
        StoredList(
            **{
                "deployment": "d",
                "written_at": 990.0,
                "last_update_at": 990.0,
                "last_event": 1,
                "endpoints": rows,
                **change,
            }
        ),
        [],
        1000.0,
    )
    world.members.tick(1001.0)
    assert world.sources() == ([] if proofs is None else ["remembered"])
    assert proofs is None or world.members.probation.terms.proofs_needed == proofs


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_siblings_word_that_a_machine_leaves_counts_at_once(state):
    world = World()
    world.prove(1000.6)
    rows = [to_record(statement(1, "draining", when=2.0))] if state == "draining" else []
    told = ReplicaAnswer("d", 5000.0, 3, rows, [1] if state == "gone" else [], [PurgeRecord(8, 0, 999.0)])
    assert world.members.apply_replica_answer(told, 1001.0)
    assert world.told[1][-1] == (state, False) and (8, 0, 999.0) in world.purges
    world.prove(1002.0)
    assert world.told[1][-1] == (state, False)


def test_a_siblings_older_list_adds_nothing_and_one_of_another_deployment_is_not_heard():
    world = World(age=10.0)
    world.prove(1000.6)
    rows = [to_record(statement(mark, when=50.0)) for mark in (1, 77)]
    assert world.members.apply_replica_answer(ReplicaAnswer("d", 5000.0, 3, rows), 1001.0)
    assert 77 not in world.members.statements.endpoints and world.sources() == ["remembered"]
    assert not world.members.apply_replica_answer(ReplicaAnswer("x", 1.0, 3, rows), 1001.0)
    assert world.members.apply_replica_answer(ReplicaAnswer("d", 2.0, 3, rows), 1001.0)
    assert 77 in world.members.statements.endpoints and world.sources() == ["remembered", "sibling"]


def test_the_service_returns_while_machines_are_being_proven():
    world = World()
    world.members.tick(1000.6)
    asked = list(world.probes)
    world.members.apply_live(live([2, 3, 50], 1000.7), 1000.7, is_complete=True)
    for one in asked:  # answers of probes that were out
        world.members.record_health_check(one.endpoint_id, 1000.8, healthy=True)
        world.members.record_request(one.endpoint_id, 1000.8, answered=False)
    assert (
        not world.told and set(world.members.statements.endpoints) == {2, 3, 50} and 1 in world.members.statements.gone
    )
    world.members.tick(1001.0)
    assert world.sources() == ["remembered", "live"] and len(world.probes) == len(asked)


def test_a_service_that_comes_and_goes_changes_the_source_once():
    world = World()
    world.prove(1000.6)
    for turn in range(20):
        now = 1001.0 + turn / 10
        world.members.apply_live(live([1, 2, 3], now), now, is_complete=True)
        world.members.live_caught_up(now, 4, is_continuous=False)
        world.members.tick(now + 0.05)
    assert world.sources() == ["remembered", "live"] and len(world.log) <= 2 + 5 + 1


def test_remembered_and_caught_up_is_the_live_list_with_what_changed_meanwhile():
    world = World()
    world.members.apply_live(live([2], 1000.1, "draining"), 1000.1, is_complete=False)
    assert world.members.max_copy_age_s(1000.1) is not None
    world.members.live_caught_up(1000.2, 8, is_continuous=True)
    assert world.sources() == ["live"] and world.members.max_copy_age_s(1000.2) is None
    assert world.told[1] == [("ready", True)] and world.told[2] == [("draining", True)]


def test_what_is_written_can_be_started_from():
    world = World(memory=False)
    assert world.members.snapshot(1000.0, (0.0, 0.0)) is None
    world.members.apply_live(live([1, 2], 1000.0), 1000.0, is_complete=True)
    world.members.live_caught_up(1000.1, 9, is_continuous=False)
    world.members.record_purge(PurgeRecord(7, 0, 999.0), 1000.2)
    world.members.record_purge(PurgeRecord(8, 0, 900.0), 1000.2)
    kept = world.members.snapshot(1001.0, (0.0, 0.0))
    _, again = stored_list.decode(stored_list.encode(kept, 4))
    assert again == kept and again.purges == [(7, 0, 999.0)] and (again.last_event, again.last_update_at) == (9, 1000.1)


# Policy.


@pytest.mark.parametrize(
    "kind, sent",
    [
        (tariff(), 1),
        (tariff(Effect.EXCLUSIVE), 0),
        (tariff(Effect.TICKETED), 0),
        (tariff(Effect.EXCLUSIVE, passes_on=True), 0),
    ],
)
def test_what_has_effects_goes_to_no_machine_that_only_an_old_list_names(kind, sent):
    made = router(boxes=0, parents=0)
    rows = [listing(1), listing(100, "parent", "hub"), listing(200, "origin", "hub")]
    made.fleet.listed(
        [row.__class__(**{**{n: getattr(row, n) for n in row.__slots__}, "trusted": False}) for row in rows], True, 99.0
    )
    _, caller = take(made, kind)
    assert len(caller.forwards) == sent and len(caller.answers) == 1 - sent
    made.fleet.listed(rows, True, 101.0)
    made.fleet.known[1].answered(101.0), made.fleet.known[200].answered(101.0)
    _, caller = take(made, kind, now=112.0)
    assert len(caller.forwards) == 1


def test_an_untrusted_machine_is_tried_by_one_visit_at_a_time_and_is_cold_once_it_answers():
    made = router(boxes=0)
    row = listing(1)
    made.fleet.listed([row.__class__(1, "here", "box", 0, "ready", 20.0, None, False)], False, 99.0)
    _, first = take(made, key=1)
    take(made, key=2)
    assert first.forwards[0].cache.mark == 1 and len(made.fleet.known[1].pending) == 1
    end(first, Outcome.MISS, 100.01)
    assert made.fleet.known[1].started == 100.01 and not made.fleet.known[1].lost


# The file.


@pytest.mark.parametrize("how", ["crash", "tear", errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("lost", [False, True])
def test_whatever_call_fails_while_it_is_written_a_whole_list_is_left(how, lost):
    def kept(number):
        return StoredList(
            "d", float(number), float(number), number, [to_record(statement(mark)) for mark in range(number * 20)]
        )

    call, dones = 0, []
    while True:
        call += 1
        disk, done = Disk((call, how)), 0
        try:
            list_file = EndpointListFile(disk, "d")
            list_file.open()
            for number in range(1, 5):
                try:
                    list_file.write(kept(number))
                    done = number
                except OSError:
                    continue
        except (Crash, ListDirectoryError):
            pass
        dones.append(done)
        if disk.calls < call:
            break
        after = EndpointListFile(disk.restarted(call, lost), "d")
        after.open()
        memory, _ = after.read()
        assert (memory.last_event if memory else 0) >= done
        assert memory is None or memory == kept(memory.last_event)
    assert len(set(dones)) > 2


@pytest.mark.parametrize(
    "damage, told",
    [
        (lambda data: data[:-1], "not as it was written"),
        (lambda data: data[:10], "shorter"),
        (lambda data: b"", "shorter"),
        (lambda data: b"x" * len(data), "no remembered"),
        (lambda data: data[:9] + b"\x09" + data[10:], "format 9"),
        (lambda data: data[:80] + bytes([data[80] ^ 1]) + data[81:], "not as it was written"),
    ],
)
def test_a_damaged_list_is_no_list_and_the_other_generation_is_taken(tmp_path, damage, told):
    from wickhinge.store.files import Files

    list_file = EndpointListFile(Files(), str(tmp_path))
    list_file.open()
    for number in (1, 2):
        list_file.write(StoredList("d", 1.0, 1.0, number, [to_record(statement(5))]))
    path = tmp_path / stored_list.FILE_NAMES[0]
    path.write_bytes(damage(path.read_bytes()))
    memory, wrong = list_file.read()
    assert memory.last_event == 1 and told in wrong[0]
    with pytest.raises(ListDirectoryError, match="in use"):
        EndpointListFile(Files(), str(tmp_path)).open()


# Siblings.

KEY = b"0123456789abcdef"


def exchange(key=KEY, nonce=b"n" * 16, rows=2):
    rows = [to_record(statement(mark)) for mark in range(rows)]
    return list_exchange.encode_answer(key, nonce, ReplicaAnswer("d", 1.0, 2, rows))


def test_an_answer_is_read_at_every_split():
    data = exchange()
    for split in range(0, len(data), 7):
        stream = list_exchange.AnswerReader(KEY, b"n" * 16)
        first = stream.feed(data[:split])
        assert (first or stream.feed(data[split:])).last_event == 2


@pytest.mark.parametrize(
    "data, told",
    [
        (exchange(key=b"another key 1234"), "not under our key"),
        (exchange(nonce=b"m" * 16), "not under our key"),
        (b"\xff\xff\xff\xff", "bytes"),
        (exchange(rows=20_001), "list of 20001 machines"),
        (list_exchange.seal_payload(KEY, b"n" * 16, b"\x05"), "another form"),
    ],
    ids=["key", "replayed", "length", "machines", "form"],
)
def test_a_wrong_answer_is_none(data, told):
    with pytest.raises(ListExchangeError, match=told):
        list_exchange.AnswerReader(KEY, b"n" * 16).feed(data)


def test_a_list_of_a_hundred_thousand_machines_is_not_even_taken_in():
    with pytest.raises(ListExchangeError, match="bytes"):
        list_exchange.AnswerReader(KEY, b"n" * 16).feed(exchange(rows=100_000)[:4])


@pytest.mark.parametrize("key, when, told", [(b"another key 1234", 100.0, "key"), (KEY, 900.0, "another time")])
def test_a_wrong_request_is_not_answered(key, when, told):
    assert list_exchange.decode_request(KEY, list_exchange.encode_request(KEY, b"n" * 16, 100.0), 101.0) == b"n" * 16
    with pytest.raises(ListExchangeError, match=told):
        list_exchange.decode_request(KEY, list_exchange.encode_request(key, b"n" * 16, when), 100.0)


# The journal.


@pytest.mark.parametrize("frames, last", [([(3, 0)], 0), ([(9, 1)], 0), ([(7, 0)], 7), ([(8, 1)], 8)])
def test_numbers_that_start_anew_or_with_a_gap_are_all_asked_for_again(frames, last):
    made, told = reading(0)
    up = []
    made.caught_up = lambda: up.append(made.unbroken)
    made.resume(7)
    for number, kind in frames:
        if last:
            made.frame(number, kind, b"")
        else:
            with pytest.raises(Unreadable):
                made.frame(number, kind, b"")
    assert made.last == last and made.unbroken is bool(last) and up == ([True] if frames == [(7, 0)] else [])
