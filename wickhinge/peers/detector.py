"""The failure detector: finds out which peers are alive, by probes and by suspicions with a time limit.

It follows SWIM (Das, Gupta and Motivala, 2002) and the local health of Lifeguard (Dadgar, Phillips and Currey, 2018),
over a roster that is known. Each period one peer is probed, in a shuffled order of all peers. A peer that does not
answer is probed through three others. A peer that nobody reaches is suspected, and counts as gone if it does not refute
the suspicion in time. Gossip is carried by the datagrams that are sent anyway. Therefore a router sends as many
datagrams per second in a fleet of 500 as in a fleet of 10.

Only the answer to a probe proves that datagrams pass between two peers in both directions; a received datagram proves
one direction. A router whose own probes are not answered, or whose event loop was paused, blames itself before its
peers: its time limits are extended, and it suspects nobody until a probe is answered again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wickhinge.common.log_event import LogEvent, ignore_event
from wickhinge.common.random_source import RandomSource
from wickhinge.peers.health import ISOLATED_AFTER_PERIODS, PROBE_PERIOD_S, LocalHealth
from wickhinge.peers.identity import Identity
from wickhinge.peers.member_table import MemberTable
from wickhinge.peers.messages import Belief, Gossip, MemberState, Message, MessageKind
from wickhinge.peers.peer_session import PeerSession, Verdict
from wickhinge.peers.prober import Prober
from wickhinge.peers.roster import Roster

_MIN_PAUSE_S = 1.0  # A longer interval between two ticks counts as a pause of this router.
# An incarnation that is silent for this long while another process asks for its name counts as gone.
_REPLACED_AFTER_SILENCE_S = 2.0
_MAX_FORMER_SESSIONS = 1024
_MIN_HELLO_INTERVAL_S = 0.1  # Shortest interval between two answers to a peer that does not know this router.
_ISOLATED_AFTER_S = ISOLATED_AFTER_PERIODS * PROBE_PERIOD_S


@dataclass(frozen=True, slots=True)
class FleetView:
    """The state of the fleet as one router sees it.

    Attributes:
        alive_fraction: Fraction of the roster that is alive, including this router.
        alive_fraction_by_zone: Fraction of each zone's routers that are alive, including this router.
        isolated_since: Time since which no probe of this router was answered; None if probes are answered.
        is_reported_gone: Whether most peers recently reported this router gone, although their datagrams arrive here.
        oldest_evidence_age_s: Age of the latest evidence about the living peer whose evidence is the oldest; 0 without
            living peers.
        has_claimed_name: Whether this router has claimed its name.
        has_duplicate: Whether another incarnation of this router's name is alive.
        peers_with_other_roster: Number of living peers whose roster differs from that of this router.
    """

    alive_fraction: float
    alive_fraction_by_zone: dict[str, float]
    isolated_since: float | None
    is_reported_gone: bool
    oldest_evidence_age_s: float
    has_claimed_name: bool
    has_duplicate: bool
    peers_with_other_roster: int

    def summary(self) -> dict[str, object]:
        """Return the log fields of the view, which are logged when they change and checked in simulations."""
        return {
            "share": round(self.alive_fraction, 4),
            "cut": self.isolated_since is not None,
            "settled": self.has_claimed_name,
        }


class FailureDetector:
    """The failure detector of one router. All times are in seconds of the same monotonic clock.

    Attributes:
        random_source: Source of all random choices.
        sessions: Session with each peer, by name.
        roster_versions: Version of the roster that each peer last stated, by name.
        sent_datagrams: Number of datagrams sent.
        roster: The roster in use.
        health: Local health of this router.
        members: Beliefs about all peers.
        identity: Incarnation and epoch of this router.
    """

    def __init__(
        self,
        roster: Roster,
        random_source: RandomSource,
        now: float,
        send: Callable[[Message], None],
        log_event: LogEvent = ignore_event,
    ) -> None:
        """Create a detector.

        Args:
            roster: The routers that may take part.
            random_source: Source of all random choices.
            now: The current time.
            send: Called within `tick` and `receive` with each message to send.
            log_event: Called with the name and the fields of each event for operators.
        """
        self.random_source, self._send_message, self._log_event = random_source, send, log_event
        self.sessions: dict[str, PeerSession] = {}
        self._former_sessions: dict[str, PeerSession] = {}  # Sessions with peers that have left the roster, by name.
        self.roster_versions: dict[str, int] = {}
        self._hello_sent_at: dict[str, float] = {}  # Time of the latest HELLO to each peer, by name.
        self._last_tick_at = self._started_at = now
        self.sent_datagrams = 0
        self._piggyback_for: Callable[[str], bytes] | None = None
        self._on_piggyback: Callable[[str, bytes, float], None] | None = None
        self.roster = roster
        self.health = LocalHealth()
        self.members = MemberTable(log_event)
        self.identity = Identity(roster, random_source, self.health, log_event, now)
        self._prober = Prober(random_source, self.members, self.health, self.send, now)
        self.reload(roster, now)

    @property
    def epoch(self) -> int:
        """The epoch with which this router has claimed its name; 0 before it has claimed the name."""
        return self.identity.epoch

    @property
    def incarnation(self) -> int:
        """The number of this router's current incarnation."""
        return self.identity.incarnation

    def attach_piggyback(
        self, piggyback_for: Callable[[str], bytes], on_piggyback: Callable[[str, bytes, float], None]
    ) -> None:
        """Let another part of the router send data with the detector's datagrams, in place of any part before it.

        Args:
            piggyback_for: Called with a peer's name for each datagram to that peer; returns the data to send.
            on_piggyback: Called with the sender's name, the data and the current time for each received piggyback.
        """
        self._piggyback_for, self._on_piggyback = piggyback_for, on_piggyback

    def reload(self, roster: Roster, now: float) -> None:
        """Use another roster; what is known about peers that are on both rosters is kept."""
        self.roster = roster
        # The session of a removed peer is kept, because its name may return, for example when the earlier roster is
        # restored. With a new session this router's counters would start anew, and the peer would accept none of them;
        # and this router would accept old datagrams of the peer a second time.
        for name in sorted(set(self.sessions) - set(roster.peer_names)):
            self._former_sessions[name] = self.sessions.pop(name)
        for name in roster.peer_names:
            if name in self._former_sessions:
                self.sessions[name] = self._former_sessions.pop(name)
            self.sessions.setdefault(name, PeerSession(name))
        while len(self._former_sessions) > _MAX_FORMER_SESSIONS:
            del self._former_sessions[next(iter(self._former_sessions))]
        roster.remove_non_peers(self.roster_versions)
        roster.remove_non_peers(self._hello_sent_at)
        self.members.reload(roster, now)
        self.identity.reload(roster)
        self._prober.reload()

    # Periodic work: probes, suspicions and the claim of the name.

    def tick(self, now: float) -> None:
        """Do the work that is due; the caller calls this several times per probe period."""
        pause_s = now - self._last_tick_at
        self._last_tick_at = now
        # After a pause (process stopped, no CPU time, or a jump of the clock) missing answers say nothing about peers.
        if pause_s > _MIN_PAUSE_S:
            self.health.record_pause()
            self.members.extend_suspicions(pause_s)
            self._prober.forget_probes(now)
            self._log_event("paused", seconds=round(pause_s, 3))
        self.identity.try_claim(now)
        failed = self._prober.check_own_probe(now)
        if failed is not None:
            self._handle_failed_probe(failed, now)
        if not self.health.is_isolated(now):
            self.members.expire_suspicions(now)
        self._prober.tick(now, [] if self.identity.epoch else list(self.identity.name_answers))

    def _handle_failed_probe(self, name: str, now: float) -> None:
        self.health.record_probe_failure()
        member = self.members[name]
        if member.state == MemberState.ALIVE and not self.health.is_isolated(now):
            self.members.add_suspicion(member, self.roster.local.name, now)

    # Sending and receiving of datagrams.

    def send(self, receiver: str, kind: MessageKind, probe_id: int, now: float, probe_target: str = "") -> None:
        """Send a datagram to a peer, with the gossip and the piggyback that are due.

        Args:
            receiver: Name of the peer.
            kind: Purpose of the datagram.
            probe_id: Number of the probe that the datagram belongs to.
            now: The current time.
            probe_target: Name of the probed router if that is not the receiver.
        """
        session, member, identity = self.sessions[receiver], self.members[receiver], self.identity
        token = session.token_to_send(self.random_source, now)
        self.sent_datagrams += 1
        message = Message(
            receiver=receiver,
            sender=self.roster.local.name,
            epoch=identity.epoch,
            incarnation=identity.incarnation,
            counter=session.next_counter(),
            token=token,
            echo=session.peer_token,
            roster_version=self.roster.version,
            refutations=identity.refutations,
            belief=Belief(session.epoch, session.incarnation, member.refutations, member.state),
            kind=kind,
            probe_id=probe_id,
            probe_target=probe_target,
            gossip=self.members.next_gossip(receiver) if identity.epoch else (),
            piggyback=self._piggyback_for(receiver) if identity.epoch and self._piggyback_for is not None else b"",
        )
        self._send_message(message)

    def receive(self, message: Message, now: float) -> None:
        """Handle a datagram whose seal has been verified with the fleet's key; all other checks are made here."""
        session = self.sessions.get(message.sender)
        # A sender may be missing from this router's roster because the roster is not up to date yet.
        if session is None or message.receiver != self.roster.local.name:
            return
        verdict = session.judge(message.stamp, now, self.random_source)
        if verdict in (Verdict.FRESH, Verdict.ADOPTED):
            self._receive_accepted(message, now, is_adopted=verdict is Verdict.ADOPTED)
        elif verdict is not Verdict.REPLAYED:
            self._answer_unaccepted(message, now, is_unclaimed=verdict is Verdict.UNCLAIMED)

    def _receive_accepted(self, message: Message, now: float, *, is_adopted: bool) -> None:
        sender = message.sender
        self.roster_versions[sender] = message.roster_version
        self.members.receive_message(message, now)
        self.receive_belief(sender, message.belief, now)
        for gossip in message.gossip:
            self._receive_gossip(gossip, sender, now)
        # Two processes with the same name may receive the same datagrams. A piggyback may grant something to one
        # incarnation, and only the incarnation that the sender knows may use it.
        is_for_us = message.belief.incarnation == self.identity.incarnation
        if message.piggyback and is_for_us and self._on_piggyback is not None:
            self._on_piggyback(sender, message.piggyback, now)
        self._prober.receive(message, now)
        if is_adopted and self._prober.resend_probes(sender, now):
            return
        if message.token and (is_adopted or self._may_send_hello(sender, now)):
            self._send_hello(message, now)  # The sender asks for an echo because it does not know this router yet.

    def _answer_unaccepted(self, message: Message, now: float, *, is_unclaimed: bool) -> None:
        """Answer a datagram that was not accepted, at a limited rate.

        The answer tells an unknown process which token to echo, and a replaced process that it is replaced.
        """
        if is_unclaimed:
            self.receive_belief(message.sender, message.belief, now)
            self._receive_claimant(message.sender, now)
        if self._may_send_hello(message.sender, now) and (not is_unclaimed or message.token):
            self._send_hello(message, now)

    def _may_send_hello(self, name: str, now: float) -> bool:
        return now - self._hello_sent_at.get(name, -1e9) >= _MIN_HELLO_INTERVAL_S

    def _send_hello(self, message: Message, now: float) -> None:
        self._hello_sent_at[message.sender] = now
        self.send(message.sender, MessageKind.HELLO, message.probe_id, now)

    def receive_belief(self, sender: str, belief: Belief, now: float) -> None:
        """Record a peer's belief about this router's name, and start a new incarnation if this one is replaced."""
        if self.identity.receive_belief(sender, belief, now):
            self.identity.start_incarnation(self.roster, now)

    def _receive_gossip(self, gossip: Gossip, witness: str, now: float) -> None:
        identity = self.identity
        if gossip.name != self.roster.local.name:
            if self.members.receive_gossip(gossip, witness, now):
                self._prober.prioritize_down_peer(gossip.name)
            return
        is_ours = (gossip.epoch, gossip.incarnation) == (identity.epoch, identity.incarnation)
        if is_ours and gossip.state in (MemberState.SUSPECT, MemberState.GONE):
            identity.refute(gossip.refutations)

    def _receive_claimant(self, name: str, now: float) -> None:
        """Handle a datagram of another process that uses a peer's name and has not claimed it yet.

        The known incarnation is probed. If it is silent while the other process is heard, it counts as gone: both use
        the same address, so the link cannot be the cause. This holds even if this router hears nobody else.
        """
        member, session = self.members[name], self.sessions[name]
        if not member.is_up():
            return
        if (
            session.last_accepted_at >= member.claimant_since
            or now - member.claimant_since > 4 * _REPLACED_AFTER_SILENCE_S
        ):
            member.claimant_since = now
            self._prober.prioritize_up_peer(name)
        elif now - member.claimant_since >= _REPLACED_AFTER_SILENCE_S:
            self.members.set_state(member, MemberState.GONE, now)

    # The state of the fleet, for other parts of the router.

    def view(self, now: float) -> FleetView:
        """Return the state of the fleet as this router sees it; the call goes through the whole roster."""
        alive = {name for name, member in self.members.items() if member.is_up()}
        isolated_since = None
        if self.roster.peer_names and self.health.is_isolated(now):
            isolated_since = max(self.health.last_answer_at, self._started_at)
            alive = {name for name in alive if now - self.sessions[name].last_accepted_at <= _ISOLATED_AFTER_S}
        accusers = sum(
            now - accused_at <= 2 * _ISOLATED_AFTER_S for accused_at in self.identity.last_accused_at.values()
        )
        version = self.roster.version
        return FleetView(
            alive_fraction=(len(alive) + 1) / len(self.roster),
            alive_fraction_by_zone=self._alive_fraction_by_zone(alive),
            isolated_since=isolated_since,
            is_reported_gone=2 * accusers > len(alive) > 0,
            oldest_evidence_age_s=max((now - self.members[name].last_evidence_at for name in alive), default=0.0),
            has_claimed_name=self.identity.epoch > 0,
            has_duplicate=self.identity.has_duplicate,
            peers_with_other_roster=sum(self.roster_versions.get(name, version) != version for name in alive),
        )

    def _alive_fraction_by_zone(self, alive: set[str]) -> dict[str, float]:
        totals: dict[str, int] = {}
        alive_counts: dict[str, int] = {}
        for entry in self.roster.entries.values():
            is_alive = entry.name in alive or entry is self.roster.local
            totals[entry.zone] = totals.get(entry.zone, 0) + 1
            alive_counts[entry.zone] = alive_counts.get(entry.zone, 0) + is_alive
        return {zone: alive_counts[zone] / total for zone, total in totals.items()}
