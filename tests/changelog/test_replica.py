"""The change log: what a replica decides, against peers that the test plays."""

import msgspec
import pytest

from tests.support.changelog_log import context, log_of, purge
from wickhinge.changelog import messages
from wickhinge.changelog.ballot import Role
from wickhinge.changelog.effects import Accepted, Committed, Persist, PersistSnapshot, Send
from wickhinge.changelog.entries import (
    Entry,
    Noop,
)
from wickhinge.changelog.errors import NotLeaderError
from wickhinge.changelog.messages import UNKNOWN_AGE_MS, Packet, Record
from wickhinge.changelog.replica import Replica
from wickhinge.changelog.settings import MAX_TICK_INTERVAL_S, ReplicaSettings
from wickhinge.changelog.snapshots import split_snapshot
from wickhinge.changelog.stored import StoredState


class Replicas:
    """One replica, and its peers as the test plays them."""

    def __init__(self, stored=None, count=3, now=50.0):
        self.names = [f"p{place}" for place in range(count)]
        self.now = now
        self.replica = Replica(context("p0"), self.names, ReplicaSettings(retain=4), stored or StoredState(), now)

    def tell(self, sender, message):
        return self.replica.receive(Packet(sender, 2, 2, 5, 0, 0, message), self.now)

    def until_it_stands(self):
        effects = []
        while self.replica.role is Role.FOLLOWER:
            self.now += MAX_TICK_INTERVAL_S
            effects = self.replica.tick(self.now)
        return effects

    def elected(self):
        self.until_it_stands()
        self.tell("p1", messages.Vote(1, self.replica.term + 1, True, True))
        effects = self.tell("p1", messages.Vote(1, self.replica.term, True, False))
        assert self.replica.role is Role.LEADER
        return effects


def record(term, number):
    return Record(term, Entry(1, number, purge(number)))


def append(term, previous, previous_term, *records, commit=0, first=1):
    return messages.Append(1, term, previous, previous_term, records, commit, first, UNKNOWN_AGE_MS, 1)


def answers(effects):
    return [effect.packet.message for effect in effects if isinstance(effect, Send)]


def test_replica_when_without_a_leader_pre_votes_then_leads_with_a_majority():
    replicas = Replicas()
    effects = replicas.until_it_stands()
    assert replicas.replica.term == 0 and all(answer.pre_vote for answer in answers(effects))
    effects = replicas.elected()
    assert [type(effect) for effect in effects] == [Persist, Send, Send]
    [first, _] = answers(effects)
    assert first.records[0].entry.change == Noop()


def test_vote_when_granted_is_persisted_first_and_given_once_a_term():
    replicas = Replicas()
    ask = messages.RequestVote(1, 4, 0, 0, False)
    effects = replicas.tell("p1", ask)
    persisted = effects[-2]
    assert isinstance(persisted, Persist) and (persisted.term, persisted.vote) == (4, "p1")
    assert answers(effects) == [messages.Vote(1, 4, True, False)]
    assert answers(replicas.tell("p2", ask)) == [messages.Vote(1, 4, False, False)]
    again = Replicas(StoredState(term=4, vote="p1"))
    assert answers(again.tell("p2", ask)) == [messages.Vote(1, 4, False, False)]
    assert answers(again.tell("p1", ask)) == [messages.Vote(1, 4, True, False)]


def test_vote_when_the_candidate_lacks_records_or_a_leader_is_known_is_denied():
    replicas = Replicas(StoredState(term=2, records=(record(2, 1), record(2, 2))))
    for last, last_term in ((1, 2), (9, 1)):
        assert not answers(replicas.tell("p1", messages.RequestVote(1, 3, last, last_term, False)))[0].granted
    replicas.tell("p1", append(3, 2, 2))
    assert not answers(replicas.tell("p2", messages.RequestVote(1, 4, 2, 2, True)))[0].granted
    assert replicas.replica.term == 3


def test_append_when_taken_is_persisted_before_the_answer_and_replaces_conflicts():
    replicas = Replicas()
    effects = replicas.tell("p1", append(1, 0, 0, record(1, 1), record(1, 2)))
    assert [type(effect) for effect in effects[-2:]] == [Persist, Send]
    effects = replicas.tell("p2", append(2, 1, 1, record(2, 2), commit=2))
    assert [effect.truncate_after for effect in effects if isinstance(effect, Persist) and effect.records] == [1]
    assert [effect.entries[-1].number for effect in effects if isinstance(effect, Committed)] == [2]
    [answer] = answers(replicas.tell("p2", append(2, 7, 2, record(2, 8))))
    assert (answer.success, answer.match) == (False, 2)
    [answer] = answers(replicas.tell("p1", append(1, 0, 0, record(1, 1))))
    assert (answer.success, answer.term) == (False, 2)


def test_leader_when_a_majority_stored_its_own_terms_record_commits():
    replicas = Replicas(StoredState(term=1, records=(record(1, 1),)), count=5)
    replicas.until_it_stands()
    for pre_vote in (True, False):
        for peer in ("p1", "p2"):
            replicas.tell(peer, messages.Vote(1, 2, True, pre_vote))
    replica = replicas.replica
    for peer in ("p1", "p2"):
        replicas.tell(peer, messages.Appended(1, 2, True, 1, 1))
    assert replica.commit == 0  # at a majority, but of an earlier leader's term
    replicas.tell("p1", messages.Appended(1, 2, True, 2, 1))
    effects = replicas.tell("p2", messages.Appended(1, 2, True, 2, 1))
    assert replica.commit == 2 and [type(effect) for effect in effects] == [Committed]
    assert Accepted(3, 2) in replica.propose(purge(5), replicas.now)


def test_leader_when_a_peers_log_differs_goes_back_as_often_as_needed():
    records = tuple(record(1 + number // 4, number) for number in range(1, 10))
    replicas = Replicas(StoredState(term=4, records=records))
    replicas.until_it_stands()
    for pre_vote in (True, False):
        replicas.tell("p1", messages.Vote(1, 5, True, pre_vote))
    for match in (7, 3, 0):
        [again] = answers(replicas.tell("p2", messages.Appended(1, 5, False, match, 1)))
        assert (again.previous_number, again.records[0].entry.number) == (match, match + 1)
    assert answers(replicas.tell("p2", messages.Appended(1, 5, False, 7, 1))) == []  # late
    replicas.tell("p2", messages.Appended(1, 5, True, 10, 1))
    assert replicas.replica.commit == 10


def test_leader_when_a_majority_answered_a_round_confirms_from_its_start():
    replicas = Replicas()
    replicas.elected()
    began = replicas.now
    replicas.now += 0.3
    replicas.tell("p1", messages.Appended(1, 1, True, 0, 1))
    assert replicas.replica.confirmed_until() == float("-inf")  # its first record is not committed
    replicas.tell("p1", messages.Appended(1, 1, True, 1, 1))
    assert replicas.replica.confirmed_until() == began


def test_leader_when_unanswered_steps_down_and_refuses_proposals():
    replicas = Replicas()
    replicas.elected()
    for _ in range(40):
        replicas.now += MAX_TICK_INTERVAL_S
        replicas.replica.tick(replicas.now)
    assert replicas.replica.role is not Role.LEADER
    with pytest.raises(NotLeaderError):
        replicas.replica.propose(purge(1), replicas.now)


def test_replica_when_it_lacks_discarded_records_loads_the_leaders_snapshot():
    replicas = Replicas()
    replicas.tell("p1", append(3, 40, 2, first=41))
    replicas.now += MAX_TICK_INTERVAL_S
    requests = answers(replicas.replica.tick(replicas.now))
    assert messages.FetchSnapshot(1, 0, 0) in requests
    snapshot = msgspec.structs.replace(log_of(40).snapshot(40.0), term=2)
    effects = [effect for part in split_snapshot(snapshot) for effect in replicas.tell("p1", part)]
    assert effects == [PersistSnapshot(snapshot, True)]
    [answer] = answers(replicas.tell("p1", append(3, 40, 2, record(3, 41), commit=41, first=41)))
    assert (answer.success, answer.match, replicas.replica.commit) == (True, 41, 41)


def test_records_when_a_snapshot_is_persisted_are_discarded():
    replicas = Replicas()
    effects = replicas.tell("p1", append(1, 0, 0, *(record(1, number) for number in range(1, 11)), commit=10))
    [persisted] = [effect for effect in effects if isinstance(effect, PersistSnapshot)]
    assert (persisted.snapshot.number, persisted.snapshot.term, persisted.clear) == (10, 1, False)
    assert (replicas.replica.records.base, replicas.replica.commit) == (6, 10)


def test_replica_when_a_higher_epoch_comes_persists_it_and_is_blank():
    replicas = Replicas(StoredState(term=2, vote="p1", records=(record(2, 1),)))
    ask = messages.RequestVote(5, 1, 9, 0, False)
    effects = replicas.tell("p1", ask)
    assert [type(effect) for effect in effects[:2]] == [Persist, PersistSnapshot]
    assert (effects[0].epoch, effects[0].term, effects[0].vote, effects[0].truncate_after) == (5, 0, "", 0)
    assert answers(effects)[-1] == messages.Vote(5, 1, True, False)
    assert replicas.tell("p2", append(9, 1, 2, record(2, 2))) == []
    replicas.now += 60.0
    assert answers(replicas.replica.tick(replicas.now)) == []  # blank: it does not stand for election
