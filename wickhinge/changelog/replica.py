"""One of the replicas that order and keep the log, by raft with pre-votes."""

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

MIN_BROADCAST_INTERVAL_S = 0.01  # between two rounds for new records; more wait for the next tick


class Replica:
    """One replica of the group `replicas`: the names of all, this one's own among them.

    What a Persist asks for has to be on stable storage before the effects after it are done.

    Attributes:
        log: The committed entries.
        records: All entries with their terms, committed or not.
        epoch: The log's epoch.
        blank: Without a state in this epoch: votes and waits for a snapshot, and does not stand for election.
    """

    leadership_type: ClassVar[type[Leadership]] = Leadership

    def __init__(
        self,
        context: ProcessContext,
        replicas: Sequence[str],
        settings: ReplicaSettings,
        stored: StoredState,
        now: float,
    ) -> None:
        self._context, self._settings = context, settings
        self._peers = tuple(peer for peer in replicas if peer != context.name)
        self._formats = dict.fromkeys(self._peers, OLDEST_FORMAT)
        self._tokens = {peer: ReceivedToken() for peer in self._peers}
        self._echo = EchoTokenClock(context.session)
        self._out: list[Effect] = []
        self._confirmations = Confirmations()
        self.log = Log(settings.retain, settings.purge_horizon_s)  # of what is committed
        self.epoch = stored.epoch
        self._ballot = Ballot(context, len(self._peers) + 1, stored, settings.election_timeout_s, now)
        self.is_blank = stored.snapshot.epoch != stored.epoch
        self._start_records(EMPTY_SNAPSHOT if self.is_blank else stored.snapshot, now)
        for record in () if self.is_blank else stored.records:
            self.records.append(record)
        self._feed = Feed(context, self.log, settings.feed, now, self._term_or_zero)
        self._leadership: Leadership | None = None  # while the leader
        self._snapshot_fetch = SnapshotFetch()

    @property
    def term(self) -> int:
        """The election term that this replica is in."""
        return self._ballot.term

    @property
    def role(self) -> Role:
        """What this replica is in its term."""
        return self._ballot.role

    @property
    def leader(self) -> str:
        """The leader as far as it is known, else ""."""
        return self._ballot.leader

    @property
    def commit(self) -> int:
        """The last committed number, as far as it is known here."""
        return self.log.last_number

    def tick(self, now: float) -> list[Effect]:
        """Does what is due; called every MAX_TICK_INTERVAL_S. Effects: Persist, Send, Committed."""
        if self._leadership is not None:
            self._lead(self._leadership, now)
        elif self._ballot.is_due(now) and not self.is_blank:
            self._campaign(now, pre_vote=True)
        self._fetch_snapshot(now)
        self._out += self._feed.tick(now, self.confirmed_until())
        return self._take_effects()

    def receive(self, packet: Packet, now: float) -> list[Effect]:
        """Takes one packet as `codec` decoded it, of a replica or of a relay.

        Effects: Persist, PersistSnapshot, Send, Committed.
        """
        message = packet.message
        if not isinstance(message, RequestVote | Vote | Append | Appended | SnapshotPart):
            return list(self._feed.receive(packet, now, self.confirmed_until()))
        if packet.sender not in self._tokens or message.epoch < self.epoch:
            return []
        if message.epoch > self.epoch:
            self._adopt_epoch(message.epoch, now)
        self._formats[packet.sender] = packet.newest
        self._tokens[packet.sender].record(packet.token, now)
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
        """Appends a change to the leader's log. Effects: Persist, Accepted, Send, and Committed where it is alone.

        Raises:
            NotLeaderError: This replica does not lead.
            OverloadedError: Too many proposals wait, or too many settings are in force.
            InvalidChangeError: No log may hold the change.
        """
        if self._leadership is None:
            raise NotLeaderError(self.leader)
        validate_change(change)
        if self.records.last - self.commit >= self._settings.max_uncommitted or not self.log.has_capacity(change):
            raise OverloadedError
        self._append_own(change)
        self._out.append(Accepted(self.records.last, self.term))
        self._leadership.has_unsent = True
        if now - self._leadership.broadcast_at >= MIN_BROADCAST_INTERVAL_S:
            self._broadcast(self._leadership, now)
        self._commit_stored(self._leadership, now)
        return self._take_effects()

    def confirmed_until(self) -> float:
        """The time, by this clock, such that all that a majority had before it is committed here; -inf: none."""
        return self._confirmations.confirmed_until(self.commit)

    def rows(self, now: float) -> list[SubscriberRow]:
        """The subscribers, for an operator."""
        return self._feed.rows(now)

    # Elections.

    def _campaign(self, now: float, *, pre_vote: bool) -> None:
        term = self._ballot.campaign(now, pre_vote=pre_vote)
        if not pre_vote:
            self._persist(self.records.last)
        request = RequestVote(self.epoch, term, self.records.last, self.records.last_term, pre_vote)
        for peer in self._peers:
            self._send(peer, request, now)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self._ballot.has_majority:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _on_request_vote(self, sender: str, message: RequestVote, now: float) -> None:
        ballot, records = self._ballot, self.records
        if message.pre_vote:
            granted = ballot.would_grant_pre_vote(message, records.last_term, records.last, now)
            self._send(sender, Vote(self.epoch, message.term if granted else self.term, granted, True), now)
            return
        if message.term > self.term:
            self._enter_term(message.term, now)
        granted = ballot.can_grant(sender, message, records.last_term, records.last)
        if granted:
            ballot.grant(sender, now)
            self._persist(records.last)
        self._send(sender, Vote(self.epoch, self.term, granted, False), now)

    def _on_vote(self, sender: str, message: Vote, now: float) -> None:
        if message.term > self.term and not (message.granted and message.pre_vote):
            self._enter_term(message.term, now)
        elif message.granted:
            self._ballot.record_vote(sender, message.term, pre_vote=message.pre_vote)
            self._count_votes(now)

    def _enter_term(self, term: int, now: float) -> None:
        self._leadership = None
        self._ballot.enter_term(term, now)
        self._persist(self.records.last)

    def _follow(self, leader: str, now: float) -> None:
        self._leadership = None
        self._ballot.follow(leader, now)

    # The leader.

    def _become_leader(self, now: float) -> None:
        self._ballot.become_leader()
        self._snapshot_fetch.stop()
        self._leadership = self.leadership_type(self._peers, self.records.last, now)
        self._append_own(Noop())
        self._broadcast(self._leadership, now)
        self._commit_stored(self._leadership, now)

    def _lead(self, leadership: Leadership, now: float) -> None:
        if self._peers and now - leadership.confirmed_at > 2 * self._settings.election_timeout_s:
            self._follow("", now)  # no majority answers
        elif leadership.has_unsent or now - leadership.broadcast_at >= self._settings.heartbeat_interval_s:
            self._broadcast(leadership, now)

    def _append_own(self, change: Change) -> None:
        record = Record(self.term, Entry(self.epoch, self.records.last + 1, change))
        self.records.append(record)
        self._persist(record.entry.number - 1, (record,))

    def _broadcast(self, leadership: Leadership, now: float) -> None:
        leadership.begin_round(now, self.records.last)
        for peer in self._peers:
            self._send_append(leadership, peer, now)

    def _send_append(self, leadership: Leadership, peer: str, now: float) -> None:
        previous = max(leadership.next[peer] - 1, self.records.base)
        records = self.records.fitting(previous, MAX_ENTRIES_BYTES, MAX_BATCH_ENTRIES, MAX_RECORD_OVERHEAD_BYTES)
        leadership.record_sent(peer, previous + len(records))
        message = Append(
            self.epoch,
            self.term,
            previous,
            self._term_or_zero(previous),
            records,
            self.commit,
            self.records.base + 1,
            knowledge_age_ms(self.confirmed_until(), now),
            leadership.round,
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
            leadership.record_accepted(peer, min(message.match, self.records.last))
            self._commit_stored(leadership, now)
            if leadership.next[peer] <= self.records.last:
                self._send_append(leadership, peer, now)
        elif leadership.record_rejected(peer, message.match):
            self._send_append(leadership, peer, now)

    def _commit_stored(self, leadership: Leadership, now: float) -> None:
        """What a majority has is committed, once its last record is of this term."""
        stored = leadership.stored_at_majority(self.records.last)
        if stored > self.commit and self.records.term_at(stored) == self.term:
            self._advance_commit(stored, now)

    # Following a leader.

    def _on_append(self, packet: Packet, message: Append, now: float) -> None:
        if message.term < self.term:
            self._reply(packet.sender, message, False, 0, now)
            return
        if message.term > self.term:
            self._enter_term(message.term, now)
        self._follow(packet.sender, now)
        sent_after = self._echo.sent_after(packet.echo, packet.echo_delay_ms)
        until = None if sent_after is None else complete_until(min(sent_after, now), message.age_ms)
        if until is not None:
            self._confirmations.add(until, message.commit)
        try_next: int | None = 0
        if not self.is_blank:
            try_next = self.records.find_conflict(message.previous_number, message.previous_term, self.commit)
        if try_next is not None:
            self._reply(packet.sender, message, False, try_next, now)
            if self.is_blank or try_next + 1 < message.first:
                self._snapshot_fetch.begin(packet.sender)
            return
        truncated_after, added = self.records.merge(message.records)
        if added:
            self._persist(truncated_after, added)
        end = message.previous_number + len(message.records)
        self._reply(packet.sender, message, True, max(end, self.records.base), now)
        self._advance_commit(min(message.commit, end), now)

    def _reply(self, leader: str, message: Append, success: bool, match: int, now: float) -> None:
        answer = Appended(self.epoch, self.term, success, match, message.round)
        self._send(leader, answer, now, self._echo.draw(now))

    # Snapshots and epochs.

    def _fetch_snapshot(self, now: float) -> None:
        """Requests parts where that is due; a request subscribes, too, as a feed serves subscribers alone."""
        request = self._snapshot_fetch.request(self.epoch, now)
        if request is not None:
            leader = self._snapshot_fetch.source
            self._send(leader, Subscribe(0, self.commit, self.log.digest, True, 0), now)
            self._send(leader, request, now)

    def _on_snapshot_part(self, sender: str, part: SnapshotPart, now: float) -> None:
        snapshot = self._snapshot_fetch.add(sender, part)
        if snapshot is None or (not self.is_blank and snapshot.number <= self.commit):
            return
        agrees = not self.is_blank and self.records.term_at(snapshot.number) == snapshot.term
        following = self.records.between(snapshot.number, self.records.last) if agrees else ()
        self._out.append(PersistSnapshot(snapshot, not agrees))
        self._start_records(snapshot, now)
        for record in following:
            self.records.append(record)
        self.is_blank = False

    def _start_records(self, snapshot: Snapshot, now: float) -> None:
        self.records = Records(snapshot.number, snapshot.term)
        self.log.load(snapshot, now)

    def _adopt_epoch(self, epoch: int, now: float) -> None:
        """Follows a restart of the log elsewhere: this replica is blank in the new epoch.

        The new epoch is persisted first, so that a replica that ends meanwhile is not blank in the old one.
        """
        self.epoch = epoch
        self.is_blank = True
        self._leadership = None
        self._ballot.enter_term(0, now)
        self._start_records(EMPTY_SNAPSHOT, now)
        self._confirmations.drop_pending()
        self._snapshot_fetch.stop()
        self._persist(0)
        self._out.append(PersistSnapshot(EMPTY_SNAPSHOT, True))

    def _advance_commit(self, number: int, now: float) -> None:
        if number <= self.commit:
            return
        entries = tuple(record.entry for record in self.records.between(self.commit, number))
        for entry in entries:
            self.log.append(entry, now)
        self._out.append(Committed(entries))
        if self.commit - self.records.base > 2 * self._settings.retain:
            snapshot = msgspec.structs.replace(self.log.snapshot(now), term=self._term_or_zero(self.commit))
            self._out.append(PersistSnapshot(snapshot, False))
            self.records.discard_up_to(self.commit - self._settings.retain)

    def _term_or_zero(self, number: int) -> int:
        """The term of a number that the records reach; 0 where it is not known."""
        return self.records.term_at(number) or 0

    # Output.

    def _persist(self, truncate_after: int, records: tuple[Record, ...] = ()) -> None:
        self._out.append(Persist(self.epoch, self.term, self._ballot.vote, truncate_after, records))

    def _send(self, to: str, message: Message, now: float, token: int = 0) -> None:
        newest_format = self._context.newest_format
        written_format = min(newest_format, self._formats[to])
        echo, delay_ms = self._tokens[to].value, self._tokens[to].delay_ms(now)
        packet = Packet(self._context.name, written_format, newest_format, token, echo, delay_ms, message)
        self._out.append(Send(to, packet))

    def _take_effects(self) -> list[Effect]:
        effects, self._out = self._out, []
        return effects
