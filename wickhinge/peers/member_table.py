"""Beliefs about each peer: states, suspicions that end after a time limit, and the gossip that spreads them (SWIM)."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil, log2, log10

from wickhinge.common.log_event import LogEvent
from wickhinge.peers.health import PROBE_PERIOD_S
from wickhinge.peers.identity import MAX_COUNTER_RISE
from wickhinge.peers.messages import Gossip, MemberState, Message
from wickhinge.peers.peer_session import COUNTER_LIMIT, MAX_INCARNATION
from wickhinge.peers.roster import Roster

_MAX_GOSSIP_PER_DATAGRAM = 8
_GOSSIP_REPEAT_FACTOR = 3  # A belief is sent this many times, multiplied by log2 of the fleet's size.
# Shortest time, in probe periods, in which a suspicion may be refuted. In a fleet of more than 10 routers it is
# multiplied by the decimal logarithm of the number of routers.
_MIN_SUSPICION_PERIODS = 4
_UNCONFIRMED_SUSPICION_FACTOR = 3  # A suspicion with a single witness lasts this many times the shortest time.
_MAX_CONFIRMATIONS = 3  # Number of further witnesses with which a suspicion lasts only the shortest time.
# A datagram that others have overtaken may carry a number of refutations that is smaller by up to this much; an honest
# peer refutes a few suspicions per second.
_MAX_REFUTATION_LAG = 64
# Larger incarnations of one name that are known by gossip only; if there are more, all of them are forgotten.
_MAX_UNCONFIRMED_INCARNATIONS = 4
_MIN_WITNESSES = 2  # Routers that must agree before gossip marks a peer as gone or replaces its incarnation.


@dataclass(slots=True)
class Member:
    """What this router believes about one peer. All times are in seconds of the same clock.

    Statements about the peer are ordered by (epoch, incarnation, refutations, state); the largest one is believed.

    Attributes:
        name: Name of the peer.
        epoch: Epoch of the believed incarnation; 0 if none is known.
        incarnation: Number of the believed incarnation; 0 if none is known.
        refutations: Number of suspicions that the incarnation has refuted.
        state: Believed state of the incarnation.
        state_since: Time at which the state or the incarnation last changed.
        last_evidence_at: Time of the latest evidence that the peer lives, its own datagram or gossip.
        suspicion_ends_at: Time at which the suspected peer counts as gone unless it refutes the suspicion.
        witnesses: Names of the routers that suspect the peer.
        times_gossiped: Number of datagrams in which the current belief was sent.
        claimant_since: Time at which another process began to ask for the peer's name.
        unconfirmed_incarnations: Names of the routers that reported an incarnation that is larger than the believed
            one and has not enough witnesses yet, by (epoch, incarnation).
    """

    name: str
    epoch: int = 0
    incarnation: int = 0
    refutations: int = 0
    state: MemberState = MemberState.UNKNOWN
    state_since: float = -1e9
    last_evidence_at: float = -1e9
    suspicion_ends_at: float = 0.0
    witnesses: set[str] = field(default_factory=set)
    times_gossiped: int = 0
    claimant_since: float = -1e9
    unconfirmed_incarnations: dict[tuple[int, int], set[str]] = field(default_factory=dict)

    def is_up(self) -> bool:
        """Return whether the peer is believed alive, or is suspected only."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberTable(dict[str, Member]):
    """The beliefs about all peers on the roster, by name. All times are in seconds of the same clock.

    Attributes:
        names_to_gossip: Names of the peers whose current belief has not been sent often enough yet.
    """

    def __init__(self, log_event: LogEvent) -> None:
        super().__init__()
        self._log_event = log_event
        self._fleet_size = 1  # Number of routers on the roster, including this one.
        self._suspects: set[str] = set()
        self.names_to_gossip: set[str] = set()

    def reload(self, roster: Roster, now: float) -> None:
        """Use another roster; beliefs about peers that are on both rosters are kept."""
        self._fleet_size = len(roster)
        roster.remove_non_peers(self)
        self._suspects &= set(roster.peer_names)
        self.names_to_gossip &= set(roster.peer_names)
        for name in roster.peer_names:
            self.setdefault(name, Member(name, state_since=now))

    def adopt_belief(self, member: Member, gossip: Gossip, now: float) -> None:
        """Replace the belief about the member and schedule it to be sent to the peers."""
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
        member.unconfirmed_incarnations.clear()

    def set_state(self, member: Member, state: MemberState, now: float) -> None:
        """Replace the believed state of the known incarnation."""
        self.adopt_belief(member, Gossip(member.name, member.epoch, member.incarnation, member.refutations, state), now)

    def add_suspicion(self, member: Member, witness: str, now: float) -> None:
        """Add a witness of the suspicion of a member and update the time at which the suspicion ends.

        The more witnesses there are, the sooner the member counts as gone.
        """
        if member.state == MemberState.ALIVE:
            self.set_state(member, MemberState.SUSPECT, now)
            member.witnesses = set()
        member.witnesses.add(witness)
        shortest_s = _MIN_SUSPICION_PERIODS * PROBE_PERIOD_S * max(1.0, log10(self._fleet_size))
        confirmations = min(len(member.witnesses) - 1, _MAX_CONFIRMATIONS)
        confirmed_part = log2(confirmations + 1) / log2(_MAX_CONFIRMATIONS + 1)
        member.suspicion_ends_at = member.state_since + shortest_s * (
            _UNCONFIRMED_SUSPICION_FACTOR - (_UNCONFIRMED_SUSPICION_FACTOR - 1) * confirmed_part
        )

    def extend_suspicions(self, pause_s: float) -> None:
        """Extend all suspicions by the length of a pause of this router, in which no refutation could be received."""
        for name in self._suspects:
            self[name].suspicion_ends_at += pause_s

    def expire_suspicions(self, now: float) -> None:
        """Mark the members as gone that have not refuted a suspicion in time."""
        for member in [self[name] for name in sorted(self._suspects)]:
            if now >= member.suspicion_ends_at:
                self.set_state(member, MemberState.GONE, now)

    def receive_message(self, message: Message, now: float) -> None:
        """Apply what a peer states about itself in a fresh datagram."""
        member = self[message.sender]
        member.last_evidence_at = now
        stated, known = (message.epoch, message.incarnation), (member.epoch, member.incarnation)
        # Only the peer itself raises its number of refutations. If the believed number is far above the stated one,
        # another router invented it, and the peer could not even refute a suspicion under it.
        is_newer = (
            message.refutations > member.refutations or member.refutations - message.refutations > _MAX_REFUTATION_LAG
        )
        if stated > known or stated == known and (is_newer or member.state == MemberState.UNKNOWN):
            belief = Gossip(member.name, message.epoch, message.incarnation, message.refutations, MemberState.ALIVE)
            self.adopt_belief(member, belief, now)

    def receive_gossip(self, gossip: Gossip, witness: str, now: float) -> bool:
        """Apply what the router `witness` states about another router.

        A single witness cannot make this router believe in a larger incarnation of another router.

        Returns:
            Whether the member should be probed soon, because its own statement is more reliable than the gossip.
        """
        name, epoch, incarnation, refutations, state = gossip
        member = self.get(name)
        if member is None or not MemberState.UNKNOWN < state <= MemberState.GONE:
            return False
        if not (0 < epoch < COUNTER_LIMIT and 0 < incarnation <= MAX_INCARNATION):
            return False
        if (epoch, incarnation) > (member.epoch, member.incarnation):
            return self._receive_larger_incarnation(member, gossip, witness, now)
        if (epoch, incarnation) < (
            member.epoch,
            member.incarnation,
        ) or refutations > member.refutations + MAX_COUNTER_RISE:
            return False
        if state == MemberState.ALIVE and refutations > member.refutations:
            member.last_evidence_at = now
            self.adopt_belief(member, gossip, now)
        elif state == MemberState.SUSPECT and refutations >= member.refutations and member.is_up():
            self._receive_suspicion(member, refutations, witness, now)
        elif state == MemberState.GONE and refutations >= member.refutations and member.is_up():
            self._receive_gone(member, refutations, witness, now)
        return False

    def _receive_larger_incarnation(self, member: Member, gossip: Gossip, witness: str, now: float) -> bool:
        if gossip.epoch > member.epoch + MAX_COUNTER_RISE:
            return False
        witnesses = member.unconfirmed_incarnations.setdefault((gossip.epoch, gossip.incarnation), set())
        if len(member.unconfirmed_incarnations) > _MAX_UNCONFIRMED_INCARNATIONS:
            member.unconfirmed_incarnations.clear()
            return False
        witnesses.add(witness)
        if len(witnesses) < _MIN_WITNESSES:
            return True
        self.adopt_belief(member, gossip._replace(refutations=min(gossip.refutations, MAX_COUNTER_RISE)), now)
        member.last_evidence_at = now
        return False

    def _receive_suspicion(self, member: Member, refutations: int, witness: str, now: float) -> None:
        if member.state != MemberState.SUSPECT or refutations != member.refutations:
            member.refutations, member.state = refutations, MemberState.ALIVE
            self.add_suspicion(member, witness, now)
        elif witness not in member.witnesses and len(member.witnesses) <= _MAX_CONFIRMATIONS:
            self.add_suspicion(member, witness, now)

    def _receive_gone(self, member: Member, refutations: int, witness: str, now: float) -> None:
        """Apply a statement that a member is gone.

        One witness is not enough to give up a peer that this router hears; its statement counts as a suspicion.
        """
        member.refutations = refutations
        if member.state == MemberState.ALIVE:
            self.add_suspicion(member, witness, now)
            return
        member.witnesses.add(witness)
        if len(member.witnesses) >= _MIN_WITNESSES:
            self.set_state(member, MemberState.GONE, now)

    def next_gossip(self, receiver: str) -> tuple[Gossip, ...]:
        """Return the beliefs for the next datagram to a peer; those that were sent least often come first."""
        max_times = _GOSSIP_REPEAT_FACTOR * ceil(log2(self._fleet_size + 1))
        pending = [self[name] for name in self.names_to_gossip if name != receiver]
        pending.sort(key=lambda member: (member.times_gossiped, member.name))
        gossip = []
        for member in pending[:_MAX_GOSSIP_PER_DATAGRAM]:
            member.times_gossiped += 1
            if member.times_gossiped >= max_times:
                self.names_to_gossip.discard(member.name)
            gossip.append(Gossip(member.name, member.epoch, member.incarnation, member.refutations, member.state))
        return tuple(gossip)
