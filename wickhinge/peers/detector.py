"""The failure detector: which peers are alive, by probes, bounded suspicion, and doubt of oneself first.

After SWIM (Das, Gupta and Motivala, 2002) and the local health of Lifeguard (Dadgar, Phillips and Currey, 2018), over
a roster that is known: each period one peer is probed, in a shuffled order of all; one that does not answer is probed
through three others; one that nobody reaches is suspected, and gone when it has not refuted that in time. Gossip rides
on the datagrams that there are. So a router sends as much a second in a fleet of 500 as in one of 10.

Only a probe's answer proves that two peers hear each other both ways; what is merely received proves one way. A router
whose own probes are not answered, or whose loop stood still, doubts itself before its peers: its time limits grow, and
it suspects nobody until somebody has answered it again.
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

_PAUSE_S = 1.0  # between two ticks, from which this router takes itself for paused
_REPLACED_AFTER_S = 2.0  # an incarnation is gone that is silent so long while another asks for its name
_MAX_FORMER_SESSIONS = 1024
_MIN_HELLO_INTERVAL_S = 0.1  # between two answers to a peer that does not know us
_ISOLATED_AFTER_S = ISOLATED_AFTER_PERIODS * PROBE_PERIOD_S


@dataclass(frozen=True, slots=True)
class FleetView:
    """What the detector tells of the fleet. Fractions count this router too."""

    alive_fraction: float  # of the roster
    alive_fraction_by_zone: dict[str, float]
    isolated_since: float | None  # since when none of our probes was answered
    is_reported_gone: bool  # peers say again and again that we are gone, though we hear them
    oldest_evidence_age_s: float  # since the last evidence of the peer heard least lately of those alive, 0 for none
    has_claimed_name: bool
    has_duplicate: bool  # another incarnation of our name is alive
    peers_with_other_roster: int  # how many of those alive have another roster

    def summary(self) -> dict[str, object]:
        """What is logged where it changes; the laboratory judges by it."""
        return {
            "share": round(self.alive_fraction, 4),
            "cut": self.isolated_since is not None,
            "settled": self.has_claimed_name,
        }


class FailureDetector:
    """One router among its peers.

    send(message) is called within `tick` and `receive` for each datagram, log_event(event, **fields) for each event for
    the operators. `now` is seconds of a clock that only rises.
    """

    def __init__(
        self,
        roster: Roster,
        random_source: RandomSource,
        now: float,
        send: Callable[[Message], None],
        log_event: LogEvent = ignore_event,
    ) -> None:
        self.random_source, self._send_message, self._log_event = random_source, send, log_event
        self.sessions: dict[str, PeerSession] = {}
        self._former_sessions: dict[str, PeerSession] = {}  # of names that have left the roster
        self.roster_versions: dict[str, int] = {}  # as peers told
        self._hello_sent_at: dict[str, float] = {}  # when a peer that does not know us was last answered
        self._ticked_at = self._started_at = now
        self.sent_datagrams = 0  # datagrams
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
        """Under which our name is claimed; 0 before it is."""
        return self.identity.epoch

    @property
    def incarnation(self) -> int:
        """The number of this process, or of its latest start under the name."""
        return self.identity.incarnation

    def attach_piggyback(
        self, piggyback_for: Callable[[str], bytes], on_piggyback: Callable[[str, bytes, float], None]
    ) -> None:
        """Lets another part send with the detector's datagrams, in place of the part that did before.

        piggyback_for(name) is called for each datagram to a peer, on_piggyback(name, data, now) for each that came.
        """
        self._piggyback_for, self._on_piggyback = piggyback_for, on_piggyback

    def reload(self, roster: Roster, now: float) -> None:
        """Takes another roster; who stands in both keeps what is known of it."""
        self.roster = roster
        # A name may come back, also by a roster that was put back. Without its session our counters would begin anew,
        # of which it accepts none, and an old datagram would be accepted a second time.
        for name in sorted(set(self.sessions) - set(roster.peer_names)):
            self._former_sessions[name] = self.sessions.pop(name)
        for name in roster.peer_names:
            if name in self._former_sessions:
                self.sessions[name] = self._former_sessions.pop(name)
            self.sessions.setdefault(name, PeerSession(name))
        while len(self._former_sessions) > _MAX_FORMER_SESSIONS:
            del self._former_sessions[next(iter(self._former_sessions))]
        roster.drop_strangers(self.roster_versions)
        roster.drop_strangers(self._hello_sent_at)
        self.members.reload(roster, now)
        self.identity.reload(roster)
        self._prober.reload()

    # Time.

    def tick(self, now: float) -> None:
        """To be called several times a probe period."""
        pause_s = now - self._ticked_at
        self._ticked_at = now
        if pause_s > _PAUSE_S:  # stopped, starved, or the clock jumped: what was missed meanwhile tells of ourselves
            self.health.paused()
            self.members.put_off_suspicions(pause_s)
            self._prober.forget_probes(now)
            self._log_event("paused", seconds=round(pause_s, 3))
        self.identity.try_claim(now)
        failed = self._prober.take_failed(now)
        if failed is not None:
            self._probe_failed(failed, now)
        if not self.health.is_isolated(now):
            self.members.end_suspicions(now)
        self._prober.tick(now, [] if self.identity.epoch else list(self.identity.name_answers))

    def _probe_failed(self, name: str, now: float) -> None:
        self.health.probe_failed()
        member = self.members[name]
        if member.state == MemberState.ALIVE and not self.health.is_isolated(now):
            self.members.suspect(member, self.roster.local.name, now)

    # Datagrams.

    def send(self, to: str, kind: MessageKind, probe_id: int, now: float, target: str = "") -> None:
        """Sends a datagram to a peer, with the gossip and the piggyback that are due."""
        session, member, identity = self.sessions[to], self.members[to], self.identity
        token = session.challenge(self.random_source, now)
        self.sent_datagrams += 1
        message = Message(
            receiver=to,
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
            probe_target=target,
            gossip=self.members.next_gossip(to) if identity.epoch else (),
            piggyback=self._piggyback_for(to) if identity.epoch and self._piggyback_for is not None else b"",
        )
        self._send_message(message)

    def receive(self, message: Message, now: float) -> None:
        """Takes a datagram that was sealed with the fleet's key; all else of it is judged here."""
        session = self.sessions.get(message.sender)
        if session is None or message.receiver != self.roster.local.name:
            return  # not on our roster, or not yet
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
        # Two processes under one name may receive the same datagrams: what is given to one incarnation is no other's.
        is_for_us = message.belief.incarnation == self.identity.incarnation
        if message.piggyback and is_for_us and self._on_piggyback is not None:
            self._on_piggyback(sender, message.piggyback, now)
        self._prober.receive(message, now)
        if is_adopted and self._prober.repeat(sender, now):
            return
        if message.token and (is_adopted or self._may_greet(sender, now)):
            self._greet(message, now)  # it does not know us yet

    def _answer_unaccepted(self, message: Message, now: float, *, is_unclaimed: bool) -> None:
        """Answers few: by that they learn what to echo, or that they are replaced."""
        if is_unclaimed:
            self.receive_belief(message.sender, message.belief, now)
            self._receive_claimant(message.sender, now)
        if self._may_greet(message.sender, now) and (not is_unclaimed or message.token):
            self._greet(message, now)

    def _may_greet(self, name: str, now: float) -> bool:
        return now - self._hello_sent_at.get(name, -1e9) >= _MIN_HELLO_INTERVAL_S

    def _greet(self, message: Message, now: float) -> None:
        self._hello_sent_at[message.sender] = now
        self.send(message.sender, MessageKind.HELLO, message.probe_id, now)

    def receive_belief(self, sender: str, belief: Belief, now: float) -> None:
        """Takes what a peer believes of our name."""
        if self.identity.receive_belief(sender, belief, now):
            self.identity.start_incarnation(self.roster, now)

    def _receive_gossip(self, gossip: Gossip, witness: str, now: float) -> None:
        identity = self.identity
        if gossip.name != self.roster.local.name:
            if self.members.receive_gossip(gossip, witness, now):
                self._prober.probe_soon(gossip.name)
            return
        is_ours = (gossip.epoch, gossip.incarnation) == (identity.epoch, identity.incarnation)
        if is_ours and gossip.state in (MemberState.SUSPECT, MemberState.GONE):
            identity.refute(gossip.refutations)

    def _receive_claimant(self, name: str, now: float) -> None:
        """Another process speaks from a peer's address and asks for its name.

        The known incarnation is probed; if it is silent while the other is heard, it is gone, and no link is to blame:
        also where we hear nobody else.
        """
        member, session = self.members[name], self.sessions[name]
        if not member.is_up():
            return
        if session.last_accepted_at >= member.claimant_since or now - member.claimant_since > 4 * _REPLACED_AFTER_S:
            member.claimant_since = now
            self._prober.probe_next(name)
        elif now - member.claimant_since >= _REPLACED_AFTER_S:
            self.members.set_state(member, MemberState.GONE, now)

    # What the parts above see.

    def view(self, now: float) -> FleetView:
        """The fleet as this router sees it. Goes through the whole roster."""
        alive = {name for name, member in self.members.items() if member.is_up()}
        isolated_since = None
        if self.roster.peer_names and self.health.is_isolated(now):
            isolated_since = max(self.health.last_answer_at, self._started_at)
            alive = {name for name in alive if now - self.sessions[name].last_accepted_at <= _ISOLATED_AFTER_S}
        accusations = sum(now - accused_at <= 2 * _ISOLATED_AFTER_S for accused_at in self.identity.accusers.values())
        version = self.roster.version
        return FleetView(
            alive_fraction=(len(alive) + 1) / len(self.roster),
            alive_fraction_by_zone=self._alive_fraction_by_zone(alive),
            isolated_since=isolated_since,
            is_reported_gone=2 * accusations > len(alive) > 0,
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
