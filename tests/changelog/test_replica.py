"""The state machine of a replica, whose peers the test plays."""

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


class ReplicaGroup:
    """The replica p0 of a group, and methods by which the test sends it messages of its peers."""

    def __init__(self, stored_state=None, count=3, now=50.0):
        self.names = [f"p{index}" for index in range(count)]
        self.now = now
        self.replica = Replica(context("p0"), self.names, ReplicaSettings(retain=4), stored_state or StoredState(), now)

    def deliver(self, sender, message):
        """Return the effects of a message from the peer `sender`."""
        return self.replica.receive(Packet(sender, 2, 2, 5, 0, 0, message), self.now)

    def run_until_campaign(self):
        """Tick until the replica requests pre-votes; return the effects of the last tick."""
        effects = []
        while self.replica.role is Role.FOLLOWER:
            self.now += MAX_TICK_INTERVAL_S
            effects = self.replica.tick(self.now)
        return effects

    def become_leader(self):
        """Let the replica win an election with the votes of p1; return the effects of its last vote."""
        self.run_until_campaign()
        self.deliver("p1", messages.Vote(1, self.replica.term + 1, True, True))
        effects = self.deliver("p1", messages.Vote(1, self.replica.term, True, False))
        assert self.replica.role is Role.LEADER
        return effects


def make_record(term, number):
    return Record(term, Entry(1, number, purge(number)))


def make_append(term, previous, previous_term, *records, commit=0, first=1):
    return messages.Append(1, term, previous, previous_term, records, commit, first, UNKNOWN_AGE_MS, 1)


def sent_messages(effects):
    return [effect.packet.message for effect in effects if isinstance(effect, Send)]


def test_replica_when_no_leader_is_known_requests_pre_votes_and_leads_with_a_majority():
    group = ReplicaGroup()
    effects = group.run_until_campaign()
    assert group.replica.term == 0 and all(message.pre_vote for message in sent_messages(effects))
    effects = group.become_leader()
    assert [type(effect) for effect in effects] == [Persist, Send, Send]
    [first_append, _] = sent_messages(effects)
    assert first_append.records[0].entry.change == Noop()


def test_vote_when_granted_is_persisted_before_the_answer_and_granted_once_in_a_term():
    group = ReplicaGroup()
    request = messages.RequestVote(1, 4, 0, 0, False)
    effects = group.deliver("p1", request)
    persisted = effects[-2]
    assert isinstance(persisted, Persist) and (persisted.term, persisted.vote) == (4, "p1")
    assert sent_messages(effects) == [messages.Vote(1, 4, True, False)]
    assert sent_messages(group.deliver("p2", request)) == [messages.Vote(1, 4, False, False)]
    restarted = ReplicaGroup(StoredState(term=4, vote="p1"))
    assert sent_messages(restarted.deliver("p2", request)) == [messages.Vote(1, 4, False, False)]
    assert sent_messages(restarted.deliver("p1", request)) == [messages.Vote(1, 4, True, False)]


def test_vote_when_the_candidate_lacks_records_or_a_leader_is_known_is_denied():
    group = ReplicaGroup(StoredState(term=2, records=(make_record(2, 1), make_record(2, 2))))
    for last, last_term in ((1, 2), (9, 1)):
        assert not sent_messages(group.deliver("p1", messages.RequestVote(1, 3, last, last_term, False)))[0].granted
    group.deliver("p1", make_append(3, 2, 2))
    assert not sent_messages(group.deliver("p2", messages.RequestVote(1, 4, 2, 2, True)))[0].granted
    assert group.replica.term == 3


def test_append_when_accepted_is_persisted_before_the_answer_and_replaces_conflicting_records():
    group = ReplicaGroup()
    effects = group.deliver("p1", make_append(1, 0, 0, make_record(1, 1), make_record(1, 2)))
    assert [type(effect) for effect in effects[-2:]] == [Persist, Send]
    effects = group.deliver("p2", make_append(2, 1, 1, make_record(2, 2), commit=2))
    assert [effect.truncate_after for effect in effects if isinstance(effect, Persist) and effect.records] == [1]
    assert [effect.entries[-1].number for effect in effects if isinstance(effect, Committed)] == [2]
    [answer] = sent_messages(group.deliver("p2", make_append(2, 7, 2, make_record(2, 8))))
    assert (answer.success, answer.match) == (False, 2)
    [answer] = sent_messages(group.deliver("p1", make_append(1, 0, 0, make_record(1, 1))))
    assert (answer.success, answer.term) == (False, 2)


def test_leader_when_a_majority_has_stored_a_record_of_its_term_commits():
    group = ReplicaGroup(StoredState(term=1, records=(make_record(1, 1),)), count=5)
    group.run_until_campaign()
    for pre_vote in (True, False):
        for peer in ("p1", "p2"):
            group.deliver(peer, messages.Vote(1, 2, True, pre_vote))
    replica = group.replica
    for peer in ("p1", "p2"):
        group.deliver(peer, messages.Appended(1, 2, True, 1, 1))
    assert replica.commit_number == 0  # The record that a majority has stored is of an earlier leader's term.
    group.deliver("p1", messages.Appended(1, 2, True, 2, 1))
    effects = group.deliver("p2", messages.Appended(1, 2, True, 2, 1))
    assert replica.commit_number == 2 and [type(effect) for effect in effects] == [Committed]
    assert Accepted(3, 2) in replica.propose(purge(5), group.now)


def test_leader_when_a_peers_log_differs_sends_earlier_records_until_the_logs_agree():
    records = tuple(make_record(1 + number // 4, number) for number in range(1, 10))
    group = ReplicaGroup(StoredState(term=4, records=records))
    group.run_until_campaign()
    for pre_vote in (True, False):
        group.deliver("p1", messages.Vote(1, 5, True, pre_vote))
    for match in (7, 3, 0):
        [retry] = sent_messages(group.deliver("p2", messages.Appended(1, 5, False, match, 1)))
        assert (retry.previous_number, retry.records[0].entry.number) == (match, match + 1)
    # A late answer causes no message.
    assert sent_messages(group.deliver("p2", messages.Appended(1, 5, False, 7, 1))) == []
    group.deliver("p2", messages.Appended(1, 5, True, 10, 1))
    assert group.replica.commit_number == 10


def test_leader_when_a_majority_has_answered_a_round_is_confirmed_until_the_rounds_start():
    group = ReplicaGroup()
    group.become_leader()
    round_began_at = group.now
    group.now += 0.3
    group.deliver("p1", messages.Appended(1, 1, True, 0, 1))
    assert group.replica.confirmed_until() == float("-inf")  # The first record of the leader's term is not committed.
    group.deliver("p1", messages.Appended(1, 1, True, 1, 1))
    assert group.replica.confirmed_until() == round_began_at


def test_leader_when_no_peer_answers_steps_down_and_rejects_proposals():
    group = ReplicaGroup()
    group.become_leader()
    for _ in range(40):
        group.now += MAX_TICK_INTERVAL_S
        group.replica.tick(group.now)
    assert group.replica.role is not Role.LEADER
    with pytest.raises(NotLeaderError):
        group.replica.propose(purge(1), group.now)


def test_replica_when_the_leader_has_discarded_records_that_it_lacks_loads_a_snapshot():
    group = ReplicaGroup()
    group.deliver("p1", make_append(3, 40, 2, first=41))
    group.now += MAX_TICK_INTERVAL_S
    requests = sent_messages(group.replica.tick(group.now))
    assert messages.FetchSnapshot(1, 0, 0) in requests
    snapshot = msgspec.structs.replace(log_of(40).snapshot(40.0), term=2)
    effects = [effect for part in split_snapshot(snapshot) for effect in group.deliver("p1", part)]
    assert effects == [PersistSnapshot(snapshot, True)]
    [answer] = sent_messages(group.deliver("p1", make_append(3, 40, 2, make_record(3, 41), commit=41, first=41)))
    assert (answer.success, answer.match, group.replica.commit_number) == (True, 41, 41)


def test_records_when_a_snapshot_is_persisted_are_discarded_up_to_the_retained_ones():
    group = ReplicaGroup()
    effects = group.deliver("p1", make_append(1, 0, 0, *(make_record(1, number) for number in range(1, 11)), commit=10))
    [persisted] = [effect for effect in effects if isinstance(effect, PersistSnapshot)]
    assert (persisted.snapshot.number, persisted.snapshot.term, persisted.clear) == (10, 1, False)
    assert (group.replica.records.base_number, group.replica.commit_number) == (6, 10)


def test_replica_when_a_message_has_a_higher_epoch_persists_the_epoch_and_is_blank():
    group = ReplicaGroup(StoredState(term=2, vote="p1", records=(make_record(2, 1),)))
    request = messages.RequestVote(5, 1, 9, 0, False)
    effects = group.deliver("p1", request)
    assert [type(effect) for effect in effects[:2]] == [Persist, PersistSnapshot]
    assert (effects[0].epoch, effects[0].term, effects[0].vote, effects[0].truncate_after) == (5, 0, "", 0)
    assert sent_messages(effects)[-1] == messages.Vote(5, 1, True, False)
    assert group.deliver("p2", make_append(9, 1, 2, make_record(2, 2))) == []
    group.now += 60.0
    assert sent_messages(group.replica.tick(group.now)) == []  # A blank replica does not stand for election.
