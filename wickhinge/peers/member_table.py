"""What is believed of each peer: states, suspicions with a bound, and the gossip that spreads them (SWIM)."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil, log2, log10

from wickhinge.common.log_event import LogEvent
from wickhinge.peers.health import PROBE_PERIOD_S
from wickhinge.peers.identity import MAX_RISE
from wickhinge.peers.messages import Gossip, MemberState, Message
from wickhinge.peers.peer_session import MAX_INCARNATION, MAX_NUMBER
from wickhinge.peers.roster import Roster

_MAX_GOSSIP = 8  # pieces in a datagram
_SPREAD_FACTOR = 3  # each piece goes out so often, times log2 of the fleet
_MIN_SUSPICION_PERIODS = 4  # in which a suspicion may be refuted, times log10 of the fleet where that is over 10
_SLOWEST_FACTOR = 3  # times as long where nobody else suspects the peer
_MAX_CONFIRMATIONS = 3  # others whose suspicion makes it the shortest
_MAX_LAG = 64  # refutations that a datagram overtaken by others may be behind; a few a second are honest
_MAX_UNCONFIRMED = 4  # larger incarnations of a name that gossip tells of
_MIN_WITNESSES = 2


@dataclass(slots=True)
class Member:
    """What is believed of one peer. Of all that is said, the largest (epoch, incarnation, refutations, state) holds.

    Times are seconds of one clock.
    """

    name: str
    epoch: int = 0
    incarnation: int = 0
    refutations: int = 0
    state: MemberState = MemberState.UNKNOWN
    state_since: float = -1e9
    last_evidence_at: float = -1e9  # direct or not
    suspicion_ends_at: float = 0.0
    witnesses: set[str] = field(default_factory=set)  # who suspects it
    times_gossiped: int = 0  # how often this belief has gone out
    claimant_since: float = -1e9  # when another process under its name began to ask for it
    unconfirmed: dict[tuple[int, int], set[str]] = field(
        default_factory=dict
    )  # unknown incarnations, who tells of each

    def is_up(self) -> bool:
        """Whether it is alive or may be."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberTable(dict[str, Member]):
    """All peers of the roster by name. `now` is seconds of one clock."""

    def __init__(self, log_event: LogEvent) -> None:
        super().__init__()
        self._log_event = log_event
        self._fleet_size = 1  # this router included
        self._suspects: set[str] = set()
        self.names_to_gossip: set[str] = set()  # whose belief has not gone out often enough

    def reload(self, roster: Roster, now: float) -> None:
        """Takes another roster; who stands in both keeps what is known of it."""
        self._fleet_size = len(roster)
        roster.drop_strangers(self)
        self._suspects &= set(roster.peer_names)
        self.names_to_gossip &= set(roster.peer_names)
        for name in roster.peer_names:
            self.setdefault(name, Member(name, state_since=now))

    def adopt_belief(self, member: Member, gossip: Gossip, now: float) -> None:
        """Believes this of the member from now on, and passes it on."""
        _, epoch, incarnation, refutations, state = gossip
        has_changed = state != member.state or incarnation != member.incarnation
        member.epoch, member.incarnation, member.refutations = epoch, incarnation, refutations
        if has_changed:
            member.state_since = now
            member.state = MemberState(state)
            member.witnesses = set()
            self._log_event("member_state", name=member.name, state=member.state.label, epoch=epoch)
        if state == MemberState.SUSPECT:
            self._suspects.add(member.name)
        else:
            self._suspects.discard(member.name)
        member.times_gossiped = 0
        self.names_to_gossip.add(member.name)
        member.unconfirmed.clear()

    def set_state(self, member: Member, state: MemberState, now: float) -> None:
        """Believes another state of the known incarnation."""
        self.adopt_belief(member, Gossip(member.name, member.epoch, member.incarnation, member.refutations, state), now)

    def suspect(self, member: Member, witness: str, now: float) -> None:
        """Notes one more witness of a suspicion: the more, the sooner the member is gone."""
        if member.state == MemberState.ALIVE:
            self.set_state(member, MemberState.SUSPECT, now)
            member.witnesses = set()
        member.witnesses.add(witness)
        shortest_s = _MIN_SUSPICION_PERIODS * PROBE_PERIOD_S * max(1.0, log10(self._fleet_size))
        confirmations = min(len(member.witnesses) - 1, _MAX_CONFIRMATIONS)
        confirmed_part = log2(confirmations + 1) / log2(_MAX_CONFIRMATIONS + 1)
        member.suspicion_ends_at = member.state_since + shortest_s * (
            _SLOWEST_FACTOR - (_SLOWEST_FACTOR - 1) * confirmed_part
        )

    def put_off_suspicions(self, seconds: float) -> None:
        """This router stood still for so long: nobody could refute a suspicion meanwhile."""
        for name in self._suspects:
            self[name].suspicion_ends_at += seconds

    def end_suspicions(self, now: float) -> None:
        """Takes as gone who has not refuted a suspicion in time."""
        for member in [self[name] for name in sorted(self._suspects)]:
            if now >= member.suspicion_ends_at:
                self.set_state(member, MemberState.GONE, now)

    def receive_message(self, message: Message, now: float) -> None:
        """Takes what a peer says of itself in a fresh datagram."""
        member = self[message.sender]
        member.last_evidence_at = now
        stated, known = (message.epoch, message.incarnation), (member.epoch, member.incarnation)
        # Only a peer itself raises its count: a belief far over its own statement was another's invention, which the
        # peer could not even refute.
        is_newer = message.refutations > member.refutations or member.refutations - message.refutations > _MAX_LAG
        if stated > known or stated == known and (is_newer or member.state == MemberState.UNKNOWN):
            belief = Gossip(member.name, message.epoch, message.incarnation, message.refutations, MemberState.ALIVE)
            self.adopt_belief(member, belief, now)

    def receive_gossip(self, gossip: Gossip, witness: str, now: float) -> bool:
        """Takes what one peer says of another.

        One witness alone can make nobody larger than it said itself. Returns whether the member should be probed
        soon, since its own statement is better.
        """
        name, epoch, incarnation, refutations, state = gossip
        member = self.get(name)
        if member is None or not MemberState.UNKNOWN < state <= MemberState.GONE:
            return False
        if not (0 < epoch < MAX_NUMBER and 0 < incarnation <= MAX_INCARNATION):
            return False
        if (epoch, incarnation) > (member.epoch, member.incarnation):
            return self._receive_larger(member, gossip, witness, now)
        if (epoch, incarnation) < (member.epoch, member.incarnation) or refutations > member.refutations + MAX_RISE:
            return False
        if state == MemberState.ALIVE and refutations > member.refutations:
            member.last_evidence_at = now
            self.adopt_belief(member, gossip, now)
        elif state == MemberState.SUSPECT and refutations >= member.refutations and member.is_up():
            self._receive_suspicion(member, refutations, witness, now)
        elif state == MemberState.GONE and refutations >= member.refutations and member.is_up():
            self._receive_gone(member, refutations, witness, now)
        return False

    def _receive_larger(self, member: Member, gossip: Gossip, witness: str, now: float) -> bool:
        if gossip.epoch > member.epoch + MAX_RISE:
            return False
        witnesses = member.unconfirmed.setdefault((gossip.epoch, gossip.incarnation), set())
        if len(member.unconfirmed) > _MAX_UNCONFIRMED:
            member.unconfirmed.clear()
            return False
        witnesses.add(witness)
        if len(witnesses) < _MIN_WITNESSES:
            return True
        self.adopt_belief(member, gossip._replace(refutations=min(gossip.refutations, MAX_RISE)), now)
        member.last_evidence_at = now
        return False

    def _receive_suspicion(self, member: Member, refutations: int, witness: str, now: float) -> None:
        if member.state != MemberState.SUSPECT or refutations != member.refutations:
            member.refutations, member.state = refutations, MemberState.ALIVE
            self.suspect(member, witness, now)
        elif witness not in member.witnesses and len(member.witnesses) <= _MAX_CONFIRMATIONS:
            self.suspect(member, witness, now)

    def _receive_gone(self, member: Member, refutations: int, witness: str, now: float) -> None:
        """One witness is not enough to lose a peer that we hear: it shortens the suspicion."""
        member.refutations = refutations
        if member.state == MemberState.ALIVE:
            self.suspect(member, witness, now)
            return
        member.witnesses.add(witness)
        if len(member.witnesses) >= _MIN_WITNESSES:
            self.set_state(member, MemberState.GONE, now)

    def next_gossip(self, to: str) -> tuple[Gossip, ...]:
        """What the next datagram to a name passes on; the beliefs that went out least often come first."""
        max_times = _SPREAD_FACTOR * ceil(log2(self._fleet_size + 1))
        pending = [self[name] for name in self.names_to_gossip if name != to]
        pending.sort(key=lambda member: (member.times_gossiped, member.name))
        gossip = []
        for member in pending[:_MAX_GOSSIP]:
            member.times_gossiped += 1
            if member.times_gossiped >= max_times:
                self.names_to_gossip.discard(member.name)
            gossip.append(Gossip(member.name, member.epoch, member.incarnation, member.refutations, member.state))
        return tuple(gossip)
