"""Sees what replicas stored and committed and what followers applied and claim, and judges it by the invariants."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

import msgspec

from wickhinge.changelog.effects import Apply, Reset
from wickhinge.changelog.entries import Entry, Purge, Setting
from wickhinge.changelog.messages import Record

GRACE_S = 4.0  # a purge's, over the followers' bound and INGEST_S
INGEST_S = 0.5  # from a purge's stamp to the replicas' majority, for the purges that are judged
RECENT_S = 20.0  # purges so young are in each snapshot; replicas and relays keep them for longer
MAX_FAULTS = 50  # noted
ROUNDING_S = 0.002  # ages and echo delays are sent in milliseconds

Spans = dict[str, list[tuple[float, float]]]  # by process, from when until when


class Sample(msgspec.Struct, frozen=True):
    """What a follower claimed at the true time `at_s`."""

    at_s: float
    name: str
    epoch: int
    number: int
    informed_until_s: float  # true time
    uninformed: bool
    any_copy: bool  # `oldest` sets no limit for a grace of GRACE_S


class AppliedEntry(msgspec.Struct, frozen=True):
    """An entry that a follower applied."""

    at_s: float
    name: str
    entry: Entry


class LoadedSnapshot(msgspec.Struct, frozen=True):
    """A snapshot that a follower loaded, and what it knew then."""

    at_s: float
    name: str
    epoch: int
    number: int
    settings: dict[str, bytes]
    purges: set[Purge]


class FollowerState:
    """A router's state by the effects that its follower gave, as an application of the log would have it."""

    def __init__(self) -> None:
        self.epoch = self.number = 0
        self.settings: dict[str, bytes] = {}
        self.purges: set[Purge] = set()


class Oracle:
    """Collects what the processes did, and the invariants that they broke as `faults`. Times are true, in seconds."""

    def __init__(self, majority: int) -> None:
        self.faults: list[str] = []
        self.samples: list[Sample] = []
        self.applied_entries: list[AppliedEntry] = []
        self.loaded_snapshots: list[LoadedSnapshot] = []
        self.committed: dict[int, dict[int, Entry]] = defaultdict(dict)  # by epoch and number
        self.majority_times_s: dict[int, dict[int, float]] = defaultdict(dict)  # when a majority had it, likewise
        self.initial_settings: dict[int, dict[str, bytes]] = {1: {}}  # settings at an epoch's start
        self.initial_numbers: dict[int, int] = {1: 0}
        self._majority = majority
        self.leaders: dict[tuple[int, int], str] = {}  # by epoch and term
        self._terms: dict[tuple[str, int, int], int] = {}  # of each replica's records
        self._holders: dict[tuple[int, int, int], set[str]] = defaultdict(set)
        self._majority_s: dict[tuple[int, int, int], float] = {}

    def add_fault(self, text: str) -> None:
        """Notes a broken invariant."""
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(text)

    # Replicas.

    def on_store(self, at_s: float, replica: str, record: Record) -> None:
        """Called when a replica has a record on stable storage."""
        key = (record.entry.epoch, record.entry.number, record.term)
        self._terms[replica, record.entry.epoch, record.entry.number] = record.term
        holders = self._holders[key]
        holders.add(replica)
        if len(holders) >= self._majority:
            self._majority_s.setdefault(key, at_s)

    def on_leading(self, at_s: float, replica: str, epoch: int, term: int) -> None:
        """Called whenever a replica acts as the leader of a term, of which there may be one."""
        first = self.leaders.setdefault((epoch, term), replica)
        if first != replica:
            self.add_fault(f"{at_s:.3f} {replica}: leads in term {term} of epoch {epoch}, as {first} does")

    def on_commit(self, at_s: float, replica: str, entry: Entry) -> None:
        """Called when a replica commits an entry: a majority has stored it, and no other one has its number."""
        term = self._terms.get((replica, entry.epoch, entry.number), 0)
        known = self.committed[entry.epoch]
        if entry.number not in known:
            known[entry.number] = entry
            key = (entry.epoch, entry.number, term)
            if key not in self._majority_s:
                self.add_fault(f"{at_s:.3f} {replica}: commits {key}, which no majority has stored")
            self.majority_times_s[entry.epoch][entry.number] = self._majority_s.get(key, at_s)
        elif known[entry.number] != entry:
            self.add_fault(f"{at_s:.3f} {replica}: commits another entry {entry.epoch}/{entry.number}")

    # Followers.

    def on_snapshot_load(self, at_s: float, name: str, model: FollowerState, effect: Reset) -> None:
        """Called when a follower loads a snapshot, which must not be older than its state."""
        snapshot = effect.snapshot
        if snapshot.epoch < model.epoch:
            self.add_fault(f"{at_s:.3f} {name}: goes back to epoch {snapshot.epoch}")
        if snapshot.epoch == model.epoch and snapshot.number < model.number:
            self.add_fault(f"{at_s:.3f} {name}: goes back to {snapshot.number} from {model.number}")
        model.epoch, model.number = snapshot.epoch, snapshot.number
        model.settings = {setting.name: setting.value for setting in snapshot.settings}
        model.purges |= set(snapshot.purges)
        self.loaded_snapshots.append(
            LoadedSnapshot(at_s, name, snapshot.epoch, snapshot.number, dict(model.settings), set(model.purges))
        )

    def on_apply(self, at_s: float, name: str, model: FollowerState, effect: Apply) -> None:
        """Called when a follower applies an entry, which must be the next one."""
        entry = effect.entry
        if entry.epoch != model.epoch or entry.number != model.number + 1:
            self.add_fault(
                f"{at_s:.3f} {name}: applies {entry.epoch}/{entry.number} after {model.epoch}/{model.number}"
            )
        model.epoch, model.number = entry.epoch, entry.number
        if isinstance(entry.change, Setting):
            model.settings[entry.change.name] = entry.change.value
        elif isinstance(entry.change, Purge):
            model.purges.add(entry.change)
        self.applied_entries.append(AppliedEntry(at_s, name, entry))

    # Judging, at the end.

    def judge_values(self) -> None:
        """What followers applied and loaded was committed."""
        for applied in self.applied_entries:
            entry = applied.entry
            if self.committed[entry.epoch].get(entry.number) != entry:
                self.add_fault(f"{applied.at_s:.3f} {applied.name}: applied {entry}, which was not committed")
        states: dict[tuple[int, int], dict[str, bytes]] = {}
        for loaded in self.loaded_snapshots:
            place = (loaded.epoch, loaded.number)
            if place not in states:
                states[place] = self._settings_at(*place)
            if loaded.settings != states[place]:
                self.add_fault(f"{loaded.at_s:.3f} {loaded.name}: a snapshot at {place} with other settings")
            self._judge_purges(loaded)

    def _judge_purges(self, loaded: LoadedSnapshot) -> None:
        """Purges of the last RECENT_S are in a snapshot."""
        for number, entry in self.committed[loaded.epoch].items():
            recent = self.majority_times_s[loaded.epoch][number] >= loaded.at_s - RECENT_S
            is_due = recent and number <= loaded.number and isinstance(entry.change, Purge)
            if is_due and entry.change not in loaded.purges:
                self.add_fault(f"{loaded.at_s:.3f} {loaded.name}: a snapshot without the purge {number}")

    def judge_claims(self) -> None:
        """Whoever claims to be informed until T has all that a majority had stored before T."""
        reached = {epoch: self._completion_times(times) for epoch, times in self.majority_times_s.items()}
        for sample in self.samples:
            for epoch, (times, numbers) in reached.items():
                place = bisect_left(times, sample.informed_until_s - ROUNDING_S)
                if not place or (epoch, numbers[place - 1]) <= (sample.epoch, sample.number):
                    continue
                self.add_fault(
                    f"{sample.at_s:.3f} {sample.name}: claims to be informed until {sample.informed_until_s:.3f} at "
                    f"{sample.epoch}/{sample.number}, and {epoch}/{numbers[place - 1]} was stored at "
                    f"{times[place - 1]:.3f}"
                )

    def judge_copies(self) -> None:
        """Whoever sets no limit to a copy's age has each purge whose grace is over."""
        for epoch, entries in self.committed.items():
            stamped = []
            for number, entry in sorted(entries.items()):
                stamp_s = getattr(entry.change, "stamp_ms", 0) / 1000
                if isinstance(entry.change, Purge) and self.majority_times_s[epoch][number] - stamp_s <= INGEST_S:
                    stamped.append((stamp_s, number))
            stamped.sort()
            for sample in self.samples:
                place = bisect_left(stamped, (sample.at_s - GRACE_S, 0)) if sample.any_copy else 0
                if place and (epoch, stamped[place - 1][1]) > (sample.epoch, sample.number):
                    self.add_fault(
                        f"{sample.at_s:.3f} {sample.name}: any copy will do, without {epoch}/{stamped[place - 1]}"
                    )

    def judge_outages(self, outages: list[tuple[float, float]], bound_s: float) -> None:
        """Where no majority of replicas runs, all know after the bound that they are uninformed."""
        for start, end in outages:
            for sample in self.samples:
                if start + bound_s < sample.at_s < end and not sample.uninformed:
                    self.add_fault(
                        f"{sample.at_s:.3f} {sample.name}: counts as informed, without replicas since {start}"
                    )

    def judge_bound(self, calm: list[tuple[float, float]], up: Spans, bound_s: float) -> float:
        """Each entry stored in a calm time is at each follower that ran within the bound. Returns the worst delay."""
        first: dict[tuple[str, int, int], float] = {}
        for applied in self.applied_entries:
            first.setdefault((applied.name, applied.entry.epoch, applied.entry.number), applied.at_s)
        covered: dict[str, list[tuple[float, int, int]]] = defaultdict(list)
        for loaded in self.loaded_snapshots:
            covered[loaded.name].append((loaded.at_s, loaded.epoch, loaded.number))
        worst = 0.0
        for epoch, times in self.majority_times_s.items():
            for number, stored_s in times.items():
                if not any(start <= stored_s and stored_s + bound_s <= end for start, end in calm):
                    continue
                for name, spans in up.items():
                    if not any(start <= stored_s and stored_s + bound_s <= end for start, end in spans):
                        continue
                    came_s = [first.get((name, epoch, number), float("inf"))]
                    came_s += [at_s for at_s, *place in covered[name] if tuple(place) >= (epoch, number)]
                    delay_s = min(came_s) - stored_s
                    worst = max(worst, delay_s)
                    if delay_s > bound_s:
                        self.add_fault(f"{stored_s:.3f} {name}: has {epoch}/{number} after {delay_s:.3f} s")
        return worst

    def _settings_at(self, epoch: int, number: int) -> dict[str, bytes]:
        state = dict(self.initial_settings[epoch])
        for place in range(self.initial_numbers[epoch] + 1, number + 1):
            entry = self.committed[epoch].get(place)
            if entry is None:
                self.add_fault(f"a snapshot at {epoch}/{number}, and {place} was not committed")
                break
            if isinstance(entry.change, Setting):
                state[entry.change.name] = entry.change.value
        return state

    @staticmethod
    def _completion_times(times: dict[int, float]) -> tuple[list[float], list[int]]:
        """Numbers in order, and by when all up to each had been stored."""
        numbers, latest, running = sorted(times), float("-inf"), []
        for number in numbers:
            latest = max(latest, times[number])
            running.append(latest)
        return running, numbers
