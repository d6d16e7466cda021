"""Records what replicas store and commit, and what followers apply and claim, and checks it against the invariants."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

import msgspec

from wickhinge.changelog.effects import Apply, Reset
from wickhinge.changelog.entries import Entry, Purge, Setting
from wickhinge.changelog.messages import Record

# Seconds after a purge's time stamp in which old copies may still be served; it exceeds the followers' bound for being
# uninformed plus MAX_INGEST_S.
PURGE_GRACE_S = 4.0
# Maximum time from a purge's time stamp until a majority of the replicas stored it, for the purges that are checked.
MAX_INGEST_S = 0.5
# Purges of this age or younger must be in each snapshot; replicas and relays keep purges for longer.
SNAPSHOT_PURGE_AGE_S = 20.0
MAX_RECORDED_FAULTS = 50
# Tolerance for rounding errors, because messages contain ages and echo delays in whole milliseconds.
ROUNDING_TOLERANCE_S = 0.002

Spans = dict[str, list[tuple[float, float]]]  # Start and end times of spans of true time, by process.


class Sample(msgspec.Struct, frozen=True):
    """What a process claimed at one time.

    Attributes:
        at_s: True time of the sample.
        name: Name of the process.
        epoch: Epoch of the last entry that the process has.
        number: Sequence number of that entry.
        informed_until_s: True time until which the process claims to have all stored entries.
        uninformed: Whether the process states that it is uninformed; always true for replicas and relays.
        any_copy: Whether a follower sets no maximum age of copies for a grace of PURGE_GRACE_S; false for others.
    """

    at_s: float
    name: str
    epoch: int
    number: int
    informed_until_s: float
    uninformed: bool
    any_copy: bool


class AppliedEntry(msgspec.Struct, frozen=True):
    """An entry that a follower applied, with the true time and the follower's name."""

    at_s: float
    name: str
    entry: Entry


class LoadedSnapshot(msgspec.Struct, frozen=True):
    """A snapshot that a follower loaded, with the follower's settings and all purges that it knew afterwards."""

    at_s: float
    name: str
    epoch: int
    number: int
    settings: dict[str, bytes]
    purges: set[Purge]


class FollowerState:
    """The settings and purges that a router has after the effects of its follower, and its position in the log."""

    def __init__(self) -> None:
        self.epoch = self.number = 0
        self.settings: dict[str, bytes] = {}
        self.purges: set[Purge] = set()


class Oracle:
    """Records what the processes did, and describes each broken invariant in `faults`.

    All times are true times in seconds: the time of the simulation, not of a process's own clock.

    Attributes:
        faults: Descriptions of the first broken invariants.
        samples: What processes claimed.
        applied_entries: Entries that followers applied.
        loaded_snapshots: Snapshots that followers loaded.
        committed: Committed entries, by epoch and sequence number.
        majority_times_s: When a majority of the replicas had stored a committed entry, by epoch and sequence number.
        initial_settings: The settings at the start of each epoch.
        initial_numbers: The sequence number at the start of each epoch.
        leaders: The replica that led in a term, by epoch and term.
    """

    def __init__(self, majority: int) -> None:
        self.faults: list[str] = []
        self.samples: list[Sample] = []
        self.applied_entries: list[AppliedEntry] = []
        self.loaded_snapshots: list[LoadedSnapshot] = []
        self.committed: dict[int, dict[int, Entry]] = defaultdict(dict)
        self.majority_times_s: dict[int, dict[int, float]] = defaultdict(dict)
        self.initial_settings: dict[int, dict[str, bytes]] = {1: {}}
        self.initial_numbers: dict[int, int] = {1: 0}
        self._majority = majority
        self.leaders: dict[tuple[int, int], str] = {}
        # Term of the stored record, by replica, epoch and sequence number.
        self._record_terms: dict[tuple[str, int, int], int] = {}
        # Replicas that stored a record, by its epoch, sequence number and term.
        self._holders: dict[tuple[int, int, int], set[str]] = defaultdict(set)
        # When a majority of the replicas had stored a record, by its epoch, sequence number and term.
        self._record_majority_times_s: dict[tuple[int, int, int], float] = {}

    def add_fault(self, text: str) -> None:
        """Record the description of a broken invariant."""
        if len(self.faults) < MAX_RECORDED_FAULTS:
            self.faults.append(text)

    # Events of replicas.

    def on_store(self, at_s: float, replica: str, record: Record) -> None:
        """Record that a replica has a record on stable storage; called when the write is complete."""
        key = (record.entry.epoch, record.entry.number, record.term)
        self._record_terms[replica, record.entry.epoch, record.entry.number] = record.term
        holders = self._holders[key]
        holders.add(replica)
        if len(holders) >= self._majority:
            self._record_majority_times_s.setdefault(key, at_s)

    def on_leading(self, at_s: float, replica: str, epoch: int, term: int) -> None:
        """Check that a term has only one leader; called whenever a replica acts as a leader."""
        first = self.leaders.setdefault((epoch, term), replica)
        if first != replica:
            self.add_fault(
                f"{at_s:.3f} {replica}: leads in term {term} of epoch {epoch}, in which {first} is the leader"
            )

    def on_commit(self, at_s: float, replica: str, entry: Entry) -> None:
        """Check that a majority stored an entry and no other has its number; called when a replica commits it."""
        term = self._record_terms.get((replica, entry.epoch, entry.number), 0)
        known = self.committed[entry.epoch]
        if entry.number not in known:
            known[entry.number] = entry
            key = (entry.epoch, entry.number, term)
            if key not in self._record_majority_times_s:
                self.add_fault(f"{at_s:.3f} {replica}: commits {key}, which no majority has stored")
            self.majority_times_s[entry.epoch][entry.number] = self._record_majority_times_s.get(key, at_s)
        elif known[entry.number] != entry:
            self.add_fault(
                f"{at_s:.3f} {replica}: commits an entry unlike the committed one, {entry.epoch}/{entry.number}"
            )

    # Events of followers.

    def on_snapshot_load(self, at_s: float, name: str, state: FollowerState, effect: Reset) -> None:
        """Check that a snapshot is not older than the follower's state; called when a follower loads it."""
        snapshot = effect.snapshot
        if snapshot.epoch < state.epoch:
            self.add_fault(f"{at_s:.3f} {name}: goes back to epoch {snapshot.epoch}")
        if snapshot.epoch == state.epoch and snapshot.number < state.number:
            self.add_fault(f"{at_s:.3f} {name}: goes back to {snapshot.number} from {state.number}")
        state.epoch, state.number = snapshot.epoch, snapshot.number
        state.settings = {setting.name: setting.value for setting in snapshot.settings}
        state.purges |= set(snapshot.purges)
        self.loaded_snapshots.append(
            LoadedSnapshot(at_s, name, snapshot.epoch, snapshot.number, dict(state.settings), set(state.purges))
        )

    def on_apply(self, at_s: float, name: str, state: FollowerState, effect: Apply) -> None:
        """Check that an entry is the next one; called when a follower applies it."""
        entry = effect.entry
        if entry.epoch != state.epoch or entry.number != state.number + 1:
            self.add_fault(
                f"{at_s:.3f} {name}: applies {entry.epoch}/{entry.number} after {state.epoch}/{state.number}"
            )
        state.epoch, state.number = entry.epoch, entry.number
        if isinstance(entry.change, Setting):
            state.settings[entry.change.name] = entry.change.value
        elif isinstance(entry.change, Purge):
            state.purges.add(entry.change)
        self.applied_entries.append(AppliedEntry(at_s, name, entry))

    # Checks at the end of a walk.

    def judge_values(self) -> None:
        """Check that the entries and settings that followers applied and loaded had been committed."""
        for applied in self.applied_entries:
            entry = applied.entry
            if self.committed[entry.epoch].get(entry.number) != entry:
                self.add_fault(f"{applied.at_s:.3f} {applied.name}: applied {entry}, which was not committed")
        states: dict[tuple[int, int], dict[str, bytes]] = {}
        for loaded in self.loaded_snapshots:
            position = (loaded.epoch, loaded.number)
            if position not in states:
                states[position] = self._settings_at(*position)
            if loaded.settings != states[position]:
                self.add_fault(
                    f"{loaded.at_s:.3f} {loaded.name}: loaded a snapshot at {position} "
                    "with other settings than the committed ones"
                )
            self._judge_purges(loaded)

    def _judge_purges(self, loaded: LoadedSnapshot) -> None:
        """Check that a snapshot has the committed purges of the SNAPSHOT_PURGE_AGE_S seconds before its load."""
        for number, entry in self.committed[loaded.epoch].items():
            is_recent = self.majority_times_s[loaded.epoch][number] >= loaded.at_s - SNAPSHOT_PURGE_AGE_S
            is_due = is_recent and number <= loaded.number and isinstance(entry.change, Purge)
            if is_due and entry.change not in loaded.purges:
                self.add_fault(f"{loaded.at_s:.3f} {loaded.name}: loaded a snapshot without the purge {number}")

    def judge_claims(self) -> None:
        """Check that each process has all entries stored before the time until which it claims to be informed."""
        completion_times = {epoch: self._completion_times(times) for epoch, times in self.majority_times_s.items()}
        for sample in self.samples:
            for epoch, (times, numbers) in completion_times.items():
                index = bisect_left(times, sample.informed_until_s - ROUNDING_TOLERANCE_S)
                if not index or (epoch, numbers[index - 1]) <= (sample.epoch, sample.number):
                    continue
                self.add_fault(
                    f"{sample.at_s:.3f} {sample.name}: claims to be informed until {sample.informed_until_s:.3f} at "
                    f"{sample.epoch}/{sample.number}, and {epoch}/{numbers[index - 1]} was stored at "
                    f"{times[index - 1]:.3f}"
                )

    def judge_copies(self) -> None:
        """Check that a follower that sets no maximum age of copies has all purges whose grace is over."""
        for epoch, entries in self.committed.items():
            stamped_purges = []
            for number, entry in sorted(entries.items()):
                stamp_s = getattr(entry.change, "stamp_ms", 0) / 1000
                if isinstance(entry.change, Purge) and self.majority_times_s[epoch][number] - stamp_s <= MAX_INGEST_S:
                    stamped_purges.append((stamp_s, number))
            stamped_purges.sort()
            for sample in self.samples:
                index = bisect_left(stamped_purges, (sample.at_s - PURGE_GRACE_S, 0)) if sample.any_copy else 0
                if index and (epoch, stamped_purges[index - 1][1]) > (sample.epoch, sample.number):
                    self.add_fault(
                        f"{sample.at_s:.3f} {sample.name}: sets no maximum age of copies and lacks the purge "
                        f"{epoch}/{stamped_purges[index - 1]}"
                    )

    def judge_outages(self, outages: list[tuple[float, float]], bound_s: float) -> None:
        """Check that all followers are uninformed when no majority of the replicas has run for `bound_s` seconds."""
        for start, end in outages:
            for sample in self.samples:
                if start + bound_s < sample.at_s < end and not sample.uninformed:
                    self.add_fault(
                        f"{sample.at_s:.3f} {sample.name}: is not uninformed, without a majority since {start}"
                    )

    def judge_bound(self, calm_spans: list[tuple[float, float]], run_spans: Spans, max_delay_s: float) -> float:
        """Check how long entries take from a majority of the replicas to the followers, and return the longest delay.

        Args:
            calm_spans: Spans without faults; entries that are stored near the end of a span are not checked.
            run_spans: Spans in which each follower ran; a follower must run for the whole maximum delay.
            max_delay_s: Maximum delay in seconds.
        """
        applied_at_s: dict[tuple[str, int, int], float] = {}
        for applied in self.applied_entries:
            applied_at_s.setdefault((applied.name, applied.entry.epoch, applied.entry.number), applied.at_s)
        loads: dict[str, list[tuple[float, int, int]]] = defaultdict(list)
        for loaded in self.loaded_snapshots:
            loads[loaded.name].append((loaded.at_s, loaded.epoch, loaded.number))
        worst_delay_s = 0.0
        for epoch, times in self.majority_times_s.items():
            for number, stored_s in times.items():
                if not any(start <= stored_s and stored_s + max_delay_s <= end for start, end in calm_spans):
                    continue
                for name, spans in run_spans.items():
                    if not any(start <= stored_s and stored_s + max_delay_s <= end for start, end in spans):
                        continue
                    arrival_times_s = [applied_at_s.get((name, epoch, number), float("inf"))]
                    arrival_times_s += [at_s for at_s, *position in loads[name] if tuple(position) >= (epoch, number)]
                    delay_s = min(arrival_times_s) - stored_s
                    worst_delay_s = max(worst_delay_s, delay_s)
                    if delay_s > max_delay_s:
                        self.add_fault(f"{stored_s:.3f} {name}: got {epoch}/{number} after {delay_s:.3f} s")
        return worst_delay_s

    def _settings_at(self, epoch: int, number: int) -> dict[str, bytes]:
        """Return the settings after the committed entry with a sequence number."""
        settings = dict(self.initial_settings[epoch])
        for entry_number in range(self.initial_numbers[epoch] + 1, number + 1):
            entry = self.committed[epoch].get(entry_number)
            if entry is None:
                self.add_fault(f"a snapshot at {epoch}/{number} was loaded, and {entry_number} was not committed")
                break
            if isinstance(entry.change, Setting):
                settings[entry.change.name] = entry.change.value
        return settings

    @staticmethod
    def _completion_times(times: dict[int, float]) -> tuple[list[float], list[int]]:
        """Return when all entries up to each number had been stored, and the sorted numbers."""
        numbers, latest_s, completion_times_s = sorted(times), float("-inf"), []
        for number in numbers:
            latest_s = max(latest_s, times[number])
            completion_times_s.append(latest_s)
        return completion_times_s, numbers
