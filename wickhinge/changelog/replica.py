"""The state machine of a replica: the replicas order and store the log by Raft with pre-votes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

import msgspec

from wickhinge.changelog.ballot import Ballot, Role
from wickhinge.changelog.codec import MAX_BATCH_ENTRIES, MAX_ENTRIES_BYTES, MAX_RECORD_OVERHEAD_BYTES
from wickhinge.changelog.confirmations import Confirmations
from wickhinge.changelog.context import ProcessContext
from wickhinge.changelog.echo_tokens import EchoTokenClock, ReceivedToken, complete_until, knowledge_age_ms
from wickhinge.changelog.effects import Accepted, Committed, Effect, Persist, PersistSnapshot, Send
from wickhinge.changelog.entries import Change, Entry, Noop, validate_change
from wickhinge.changelog.errors import NotLeaderError, OverloadedError
from wickhinge.changelog.feed import Feed, SubscriberRow
from wickhinge.changelog.leadership import Leadership
from wickhinge.changelog.log import EMPTY_SNAPSHOT, Log, Snapshot
from wickhinge.changelog.messages import (
    OLDEST_FORMAT,
    Append,
    Appended,
    Message,
    Packet,
    Record,
    RequestVote,
    SnapshotPart,
    Subscribe,
    Vote,
)
from wickhinge.changelog.records import Records
from wickhinge.changelog.settings import ReplicaSettings
from wickhinge.changelog.snapshots import SnapshotFetch
from wickhinge.changelog.stored import StoredState

# A new record is sent at once only if the latest round began at least this long ago; otherwise at the next tick.
MIN_BROADCAST_INTERVAL_S = 0.01


class Replica:
    """One replica of a group; the constructor's `replicas` are the names of all, including this one.

    The owner has to perform the returned effects in their order: a Persist has to be on stable storage before a later
    effect is performed.

    Attributes:
        log: The committed entries.
        records: All entries with their terms, committed or not.
        epoch: The log's epoch.
        is_blank: Whether this replica has no state in this epoch. It votes then, and waits for a snapshot, but does not
            stand for election.
    """

    leadership_type: ClassVar[type[Leadership]] = Leadership

    def __init__(
        self,
        context: ProcessContext,
        replicas: Sequence[str],
        settings: ReplicaSettings,
        stored_state: StoredState,
        now: float,
    ) -> None:
        self._context, self._settings = context, settings
        self._peers = tuple(peer for peer in replicas if peer != context.name)
        self._newest_formats = dict.fromkeys(self._peers, OLDEST_FORMAT)
        self._received_tokens = {peer: ReceivedToken() for peer in self._peers}
        self._echo_tokens = EchoTokenClock(context.session)
        self._pending_effects: list[Effect] = []
        self._confirmations = Confirmations()
        self.log = Log(settings.retain, settings.purge_horizon_s)
        self.epoch = stored_state.epoch
        self._ballot = Ballot(context, len(self._peers) + 1, stored_state, settings.election_timeout_s, now)
        self.is_blank = stored_state.snapshot.epoch != stored_state.epoch
        self._start_records(EMPTY_SNAPSHOT if self.is_blank else stored_state.snapshot, now)
        for record in () if self.is_blank else stored_state.records:
            self.records.append(record)
        self._feed = Feed(context, self.log, settings.feed, now, self._term_or_zero)
        # State of the current leadership; None unless this replica is the leader.
        self._leadership: Leadership | None = None
        self._snapshot_fetch = SnapshotFetch()

    @property
    def term(self) -> int:
        """The current election term of this replica."""
        return self._ballot.term

    @property
    def role(self) -> Role:
        """The role of this replica in its term."""
        return self._ballot.role

    @property
    def leader(self) -> str:
        """The name of the term's leader, "" where it is not known."""
        return self._ballot.leader

    @property
    def commit_number(self) -> int:
        """The highest number that this replica knows to be committed."""
        return self.log.last_number

    def tick(self, now: float) -> list[Effect]:
        """Do what is due at `now`; called at least every MAX_TICK_INTERVAL_S seconds.

        Returns:
            Effects of the types Persist, Send and Committed.
        """
        if self._leadership is not None:
            self._tick_as_leader(self._leadership, now)
        elif self._ballot.is_election_due(now) and not self.is_blank:
            self._campaign(now, pre_vote=True)
        self._fetch_snapshot(now)
        self._pending_effects += self._feed.tick(now, self.confirmed_until())
        return self._take_effects()

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Handle one decoded packet from a replica or a relay.

        Returns:
            Effects of the types Persist, PersistSnapshot, Send and Committed.
        """
        message = packet.message
        if not isinstance(message, RequestVote | Vote | Append | Appended | SnapshotPart):
            return list(self._feed.receive(packet, now, self.confirmed_until()))
        if packet.sender not in self._received_tokens or message.epoch < self.epoch:
            return []
        if message.epoch > self.epoch:
            self._adopt_epoch(message.epoch, now)
        self._newest_formats[packet.sender] = packet.newest
        self._received_tokens[packet.sender].record(packet.token, now)
        if isinstance(message, RequestVote):
            self._on_request_vote(packet.sender, message, now)
        elif isinstance(message, Vote):
            self._on_vote(packet.sender, message, now)
        elif isinstance(message, Append):
            self._on_append(packet, message, now)
        elif isinstance(message, Appended):
            self._on_appended(packet.sender, message, now)
        else:
            self._on_snapshot_part(packet.sender, message, now)
        return self._take_effects()

    def propose(self, change: Change, now: float) -> list[Effect]:
        """Append a change to the log, as the leader.

        Returns:
            Effects of the types Persist, Accepted and Send, and also Committed if the group has only this replica.

        Raises:
            NotLeaderError: This replica is not the leader.
            OverloadedError: Too many records are uncommitted, or too many settings are in force.
            InvalidChangeError: A field of the change is out of its bounds.
        """
        if self._leadership is None:
            raise NotLeaderError(self.leader)
        validate_change(change)
        if self.records.last_number - self.commit_number >= self._settings.max_uncommitted or not self.log.has_capacity(
            change
        ):
            raise OverloadedError
        self._append_own(change)
        self._pending_effects.append(Accepted(self.records.last_number, self.term))
        self._leadership.has_unsent_records = True
        if now - self._leadership.broadcast_at >= MIN_BROADCAST_INTERVAL_S:
            self._broadcast(self._leadership, now)
        self._commit_stored_at_majority(self._leadership, now)
        return self._take_effects()

    def confirmed_until(self) -> float:
        """Return the time before which this replica's committed entries are complete, -inf where none is known.

        All entries that a majority had before that time, by this process's clock, are committed in this replica.
        """
        return self._confirmations.confirmed_until(self.commit_number)

    def rows(self, now: float) -> list[SubscriberRow]:
        """Return a description of each subscriber, for an operator."""
        return self._feed.rows(now)

    # Methods for elections.

    def _campaign(self, now: float, *, pre_vote: bool) -> None:
        term = self._ballot.campaign(now, pre_vote=pre_vote)
        if not pre_vote:
            self._persist(self.records.last_number)
        request = RequestVote(self.epoch, term, self.records.last_number, self.records.last_term, pre_vote)
        for peer in self._peers:
            self._send(peer, request, now)
        self._check_election_won(now)

    def _check_election_won(self, now: float) -> None:
        if not self._ballot.has_majority:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _on_request_vote(self, sender: str, message: RequestVote, now: float) -> None:
        ballot, records = self._ballot, self.records
        if message.pre_vote:
            granted = ballot.would_grant_pre_vote(message, records.last_term, records.last_number, now)
            self._send(sender, Vote(self.epoch, message.term if granted else self.term, granted, True), now)
            return
        if message.term > self.term:
            self._enter_term(message.term, now)
        granted = ballot.can_grant(sender, message, records.last_term, records.last_number)
        if granted:
            ballot.grant(sender, now)
            self._persist(records.last_number)
        self._send(sender, Vote(self.epoch, self.term, granted, False), now)

    def _on_vote(self, sender: str, message: Vote, now: float) -> None:
        if message.term > self.term and not (message.granted and message.pre_vote):
            self._enter_term(message.term, now)
        elif message.granted:
            self._ballot.record_vote(sender, message.term, pre_vote=message.pre_vote)
            self._check_election_won(now)

    def _enter_term(self, term: int, now: float) -> None:
        self._leadership = None
        self._ballot.enter_term(term, now)
        self._persist(self.records.last_number)

    def _follow(self, leader: str, now: float) -> None:
        self._leadership = None
        self._ballot.follow(leader, now)

    # Methods of a leader.

    def _become_leader(self, now: float) -> None:
        self._ballot.become_leader()
        self._snapshot_fetch.stop()
        self._leadership = self.leadership_type(self._peers, self.records.last_number, now)
        self._append_own(Noop())
        self._broadcast(self._leadership, now)
        self._commit_stored_at_majority(self._leadership, now)

    def _tick_as_leader(self, leadership: Leadership, now: float) -> None:
        if self._peers and now - leadership.confirmed_at > 2 * self._settings.election_timeout_s:
            # Step down, as no majority has answered for two election timeouts.
            self._follow("", now)
        elif leadership.has_unsent_records or now - leadership.broadcast_at >= self._settings.heartbeat_interval_s:
            self._broadcast(leadership, now)

    def _append_own(self, change: Change) -> None:
        record = Record(self.term, Entry(self.epoch, self.records.last_number + 1, change))
        self.records.append(record)
        self._persist(record.entry.number - 1, (record,))

    def _broadcast(self, leadership: Leadership, now: float) -> None:
        leadership.begin_round(now, self.records.last_number)
        for peer in self._peers:
            self._send_append(leadership, peer, now)

    def _send_append(self, leadership: Leadership, peer: str, now: float) -> None:
        previous = max(leadership.next_numbers[peer] - 1, self.records.base_number)
        records = self.records.fit_after(previous, MAX_ENTRIES_BYTES, MAX_BATCH_ENTRIES, MAX_RECORD_OVERHEAD_BYTES)
        leadership.record_sent(peer, previous + len(records))
        message = Append(
            self.epoch,
            self.term,
            previous,
            self._term_or_zero(previous),
            records,
            self.commit_number,
            self.records.base_number + 1,
            knowledge_age_ms(self.confirmed_until(), now),
            leadership.round_number,
        )
        self._send(peer, message, now)

    def _on_appended(self, peer: str, message: Appended, now: float) -> None:
        if message.term > self.term:
            self._enter_term(message.term, now)
        leadership = self._leadership
        if leadership is None or message.term < self.term:
            return
        confirmed = leadership.record_answer(peer, message.round, now)
        if confirmed is not None:
            self._confirmations.add(*confirmed)
        if message.success:
            leadership.record_accepted(peer, min(message.match, self.records.last_number))
            self._commit_stored_at_majority(leadership, now)
            if leadership.next_numbers[peer] <= self.records.last_number:
                self._send_append(leadership, peer, now)
        elif leadership.record_rejected(peer, message.match):
            self._send_append(leadership, peer, now)

    def _commit_stored_at_majority(self, leadership: Leadership, now: float) -> None:
        """Commit the records that a majority has stored, if the last of them is of the current term."""
        stored_number = leadership.stored_at_majority(self.records.last_number)
        if stored_number > self.commit_number and self.records.term_at(stored_number) == self.term:
            self._advance_commit(stored_number, now)

    # Methods of a follower.

    def _on_append(self, packet: Packet, message: Append, now: float) -> None:
        if message.term < self.term:
            self._reply(packet.sender, message, False, 0, now)
            return
        if message.term > self.term:
            self._enter_term(message.term, now)
        self._follow(packet.sender, now)
        sent_after = self._echo_tokens.sent_after(packet.echo, packet.echo_delay_ms)
        until = None if sent_after is None else complete_until(min(sent_after, now), message.age_ms)
        if until is not None:
            self._confirmations.add(until, message.commit)
        try_next_number: int | None = 0
        if not self.is_blank:
            try_next_number = self.records.find_conflict(
                message.previous_number, message.previous_term, self.commit_number
            )
        if try_next_number is not None:
            self._reply(packet.sender, message, False, try_next_number, now)
            if self.is_blank or try_next_number + 1 < message.first:
                self._snapshot_fetch.begin(packet.sender)
            return
        truncated_after, added = self.records.merge(message.records)
        if added:
            self._persist(truncated_after, added)
        end = message.previous_number + len(message.records)
        self._reply(packet.sender, message, True, max(end, self.records.base_number), now)
        self._advance_commit(min(message.commit, end), now)

    def _reply(self, leader: str, message: Append, success: bool, match: int, now: float) -> None:
        answer = Appended(self.epoch, self.term, success, match, message.round)
        self._send(leader, answer, now, self._echo_tokens.draw(now))

    # Methods for snapshots and epochs.

    def _fetch_snapshot(self, now: float) -> None:
        """Request a snapshot part if that is due, and subscribe first, because a feed serves only subscribers."""
        request = self._snapshot_fetch.request(self.epoch, now)
        if request is not None:
            leader = self._snapshot_fetch.source
            self._send(leader, Subscribe(0, self.commit_number, self.log.digest, True, 0), now)
            self._send(leader, request, now)

    def _on_snapshot_part(self, sender: str, part: SnapshotPart, now: float) -> None:
        snapshot = self._snapshot_fetch.add(sender, part)
        if snapshot is None or (not self.is_blank and snapshot.number <= self.commit_number):
            return
        agrees = not self.is_blank and self.records.term_at(snapshot.number) == snapshot.term
        following = self.records.between(snapshot.number, self.records.last_number) if agrees else ()
        self._pending_effects.append(PersistSnapshot(snapshot, not agrees))
        self._start_records(snapshot, now)
        for record in following:
            self.records.append(record)
        self.is_blank = False

    def _start_records(self, snapshot: Snapshot, now: float) -> None:
        self.records = Records(snapshot.number, snapshot.term)
        self.log.load(snapshot, now)

    def _adopt_epoch(self, epoch: int, now: float) -> None:
        """Enter a higher epoch, in which the log was restarted from a backup; this replica is blank in it.

        The new epoch is persisted before the snapshot is emptied. So if the process ends between the two, the replica
        is not blank in the old epoch.
        """
        self.epoch = epoch
        self.is_blank = True
        self._leadership = None
        self._ballot.enter_term(0, now)
        self._start_records(EMPTY_SNAPSHOT, now)
        self._confirmations.drop_pending()
        self._snapshot_fetch.stop()
        self._persist(0)
        self._pending_effects.append(PersistSnapshot(EMPTY_SNAPSHOT, True))

    def _advance_commit(self, number: int, now: float) -> None:
        if number <= self.commit_number:
            return
        entries = tuple(record.entry for record in self.records.between(self.commit_number, number))
        for entry in entries:
            self.log.append(entry, now)
        self._pending_effects.append(Committed(entries))
        if self.commit_number - self.records.base_number > 2 * self._settings.retain:
            snapshot = msgspec.structs.replace(self.log.snapshot(now), term=self._term_or_zero(self.commit_number))
            self._pending_effects.append(PersistSnapshot(snapshot, False))
            self.records.discard_up_to(self.commit_number - self._settings.retain)

    def _term_or_zero(self, number: int) -> int:
        """Return the term of entry `number`, 0 where it is not known."""
        return self.records.term_at(number) or 0

    # Methods that queue effects for the owner.

    def _persist(self, truncate_after: int, records: tuple[Record, ...] = ()) -> None:
        self._pending_effects.append(Persist(self.epoch, self.term, self._ballot.vote, truncate_after, records))

    def _send(self, to: str, message: Message, now: float, token: int = 0) -> None:
        newest_format = self._context.newest_format
        written_format = min(newest_format, self._newest_formats[to])
        echo, delay_ms = self._received_tokens[to].value, self._received_tokens[to].delay_ms(now)
        packet = Packet(self._context.name, written_format, newest_format, token, echo, delay_ms, message)
        self._pending_effects.append(Send(to, packet))

    def _take_effects(self) -> list[Effect]:
        effects, self._pending_effects = self._pending_effects, []
        return effects
