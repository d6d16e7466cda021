"""A replica's stable storage: a snapshot file and an append-only file of checksummed records.

    snapshot             "WLS1" generation:8 encoded snapshot (snapshots.encode_snapshot, with its own checksum)
    records.GENERATION   blocks: length:4 checksum:8 payload        payload: one Persist (record_blocks)

A block's checksum covers the checksum before it, so that a block left from before a crash is never taken for one that
follows. A new snapshot begins a generation: its records file is written and synced first, with the state as one block,
then the snapshot file is replaced by rename, which is the moment at which the new generation counts. A torn last block
is cut off at the start; one that is damaged before another is refused, as votes and entries that others rely on may be
lost with it.
"""

from __future__ import annotations

import contextlib
import errno

from wickhinge.changelog.effects import Persist, PersistSnapshot
from wickhinge.changelog.errors import (
    MalformedMessageError,
    StorageDamagedError,
    StorageInUseError,
    StorageMissingError,
)
from wickhinge.changelog.log import Snapshot
from wickhinge.changelog.record_blocks import HEAD_BYTES, LENGTH_BYTES, encode_persist, frame_block, read_blocks
from wickhinge.changelog.snapshots import decode_snapshot, encode_snapshot
from wickhinge.changelog.stored import StoredState
from wickhinge.store.files import Files, replace_file

MAGIC = b"WLS1"
SNAPSHOT, RECORDS, LOCK = "snapshot", "records.", "lock"
GENERATION_BYTES = 8
MAX_SNAPSHOT_BYTES = 16_000_000
MAX_RECORDS_FILE_BYTES = 256_000_000


class ReplicaState:
    """The sum of all effects so far, in memory."""

    def __init__(self, stored: StoredState) -> None:
        self.epoch, self.term, self.vote = stored.epoch, stored.term, stored.vote
        self.snapshot = stored.snapshot
        self.records = list(stored.records)

    def stored(self) -> StoredState:
        """What a replica is given at its start."""
        return StoredState(self.epoch, self.term, self.vote, self.snapshot, tuple(self.records))

    def persist(self, effect: Persist) -> None:
        """Takes epoch, term and vote, and the log's new end."""
        self.epoch, self.term, self.vote = effect.epoch, effect.term, effect.vote
        while self.records and self.records[-1].entry.number > effect.truncate_after:
            self.records.pop()
        self.records += effect.records

    def persist_snapshot(self, effect: PersistSnapshot) -> None:
        """Takes a snapshot in place of the records that it stands for."""
        self.snapshot = effect.snapshot
        last = effect.snapshot.number
        self.records = [record for record in self.records if record.entry.number > last and not effect.clear]

    def as_effect(self) -> Persist:
        """The effect that, after the snapshot, gives this state."""
        return Persist(self.epoch, self.term, self.vote, self.snapshot.number, tuple(self.records))


class MemoryStorage:
    """A Storage that lasts as long as the process: for tests and benches."""

    def __init__(self, stored: StoredState | None = None) -> None:
        self._state = ReplicaState(stored or StoredState())

    @property
    def stored(self) -> StoredState:
        """As of Storage."""
        return self._state.stored()

    def persist(self, effect: Persist) -> None:
        """As of Storage."""
        self._state.persist(effect)

    def persist_snapshot(self, effect: PersistSnapshot) -> None:
        """As of Storage."""
        self._state.persist_snapshot(effect)

    def close(self) -> None:
        """As of Storage."""


class FileStorage:
    """One replica's files in a directory of its own. `create` begins a new log there; `open` goes on with one."""

    def __init__(self, files: Files, directory: str, lock: int, generation: int, state: ReplicaState) -> None:
        self._files, self._directory, self._lock = files, directory, lock
        self._generation, self._state = generation, state
        self._handle = -1  # of the records file
        self._end = 0  # bytes of it that count
        self._checksum = b""  # of its last block
        self._failed = False

    @classmethod
    def create(cls, directory: str, stored: StoredState, files: Files) -> FileStorage:
        """Begins a new log. No files are replaced.

        Raises:
            FileExistsError: There is a replica's state already.
            StorageInUseError: Another process has the directory.
            OSError: The files cannot be written.
        """
        files.make_directory(directory)
        lock = take_lock(files, directory)
        storage = cls(files, directory, lock, 0, ReplicaState(stored))
        try:
            if SNAPSHOT in files.list_directory(directory):
                raise FileExistsError(f"{directory}/{SNAPSHOT}: there is a replica's state already")
            storage._begin_generation()
        except BaseException:
            storage.close()
            raise
        return storage

    @classmethod
    def open(cls, directory: str, files: Files) -> FileStorage:
        """Goes on with the files of an earlier process.

        Raises:
            StorageMissingError: There are no files.
            StorageDamagedError: They do not hold what was written.
            StorageInUseError: Another process has the directory.
            OSError: The files cannot be read or written.
        """
        try:
            lock = take_lock(files, directory)
        except FileNotFoundError:
            raise StorageMissingError(directory, "no such directory") from None
        storage = cls(files, directory, lock, 0, ReplicaState(StoredState()))
        try:
            storage._recover()
        except BaseException:
            storage.close()
            raise
        return storage

    @property
    def stored(self) -> StoredState:
        """What has been persisted so far."""
        return self._state.stored()

    def persist(self, effect: Persist) -> None:
        """Lasts when this returns. After an OSError nothing more is taken: what was written is not known."""
        self._check_usable()
        block = frame_block(encode_persist(effect), self._checksum)
        try:
            self._files.write(self._handle, block, self._end)
            self._files.sync(self._handle)
        except OSError:
            self._failed = True
            raise
        self._end += len(block)
        self._checksum = block[LENGTH_BYTES:HEAD_BYTES]
        self._state.persist(effect)

    def persist_snapshot(self, effect: PersistSnapshot) -> None:
        """Begins a new generation of files; as for persist."""
        self._check_usable()
        self._state.persist_snapshot(effect)
        try:
            self._begin_generation()
        except OSError:
            self._failed = True
            raise

    def close(self) -> None:
        """Releases the files and the lock; may be called more than once."""
        for handle in (self._handle, self._lock):
            if handle >= 0:
                self._files.close(handle)
        self._handle = self._lock = -1

    def _check_usable(self) -> None:
        if self._failed:
            raise OSError(errno.EIO, f"{self._directory}: an earlier write failed")

    def _begin_generation(self) -> None:
        generation = self._generation + 1
        path = f"{self._directory}/{RECORDS}{generation}"
        handle = self._files.open(path, write=True, create=True)
        try:
            block = frame_block(encode_persist(self._state.as_effect()), initial_checksum(generation))
            self._files.write(handle, block, 0)
            self._files.sync(handle)
            self._files.sync_directory(self._directory)
            head = MAGIC + generation.to_bytes(GENERATION_BYTES, "big")
            replace_file(self._files, self._directory, SNAPSHOT, head + encode_snapshot(self._state.snapshot))
        except OSError:
            self._files.close(handle)
            raise
        previous_handle, self._handle = self._handle, handle
        self._generation, self._end, self._checksum = generation, len(block), block[LENGTH_BYTES:HEAD_BYTES]
        if previous_handle >= 0:
            self._files.close(previous_handle)
        self._remove_other_generations()

    def _remove_other_generations(self) -> None:
        """Files of other generations; one that stays behind is removed with the next generation."""
        for name in self._files.list_directory(self._directory):
            if name.startswith(RECORDS) and name != f"{RECORDS}{self._generation}":
                with contextlib.suppress(OSError):
                    self._files.remove(f"{self._directory}/{name}")

    def _recover(self) -> None:
        names = self._files.list_directory(self._directory)
        if SNAPSHOT not in names:
            raise StorageMissingError(self._directory, f"holds no file named {SNAPSHOT}")
        self._generation, snapshot = self._read_snapshot()
        records = f"{RECORDS}{self._generation}"
        if records not in names:
            raise StorageDamagedError(f"{self._directory}/{records}", "is missing")
        self._handle = self._files.open(f"{self._directory}/{records}", write=True)
        data = self._files.read(self._handle, MAX_RECORDS_FILE_BYTES, 0)
        self._state = ReplicaState(StoredState(snapshot=snapshot))
        try:
            effects, self._end, self._checksum = read_blocks(data, initial_checksum(self._generation))
        except MalformedMessageError as fault:
            raise StorageDamagedError(f"{self._directory}/{records}", str(fault)) from None
        for effect in effects:
            self._state.persist(effect)
        if self._end < len(data):  # a torn last block: what is left of it must not stand behind later ones
            self._begin_generation()

    def _read_snapshot(self) -> tuple[int, Snapshot]:
        path = f"{self._directory}/{SNAPSHOT}"
        handle = self._files.open(path)
        try:
            data = self._files.read(handle, MAX_SNAPSHOT_BYTES, 0)
        finally:
            self._files.close(handle)
        start = len(MAGIC) + GENERATION_BYTES
        if data[: len(MAGIC)] != MAGIC:
            raise StorageDamagedError(path, "is no such file")
        try:
            return int.from_bytes(data[len(MAGIC) : start], "big"), decode_snapshot(data[start:])
        except MalformedMessageError as fault:
            raise StorageDamagedError(path, str(fault)) from None


def take_lock(files: Files, directory: str) -> int:
    """Raises StorageInUseError."""
    handle = files.lock(f"{directory}/{LOCK}")
    if handle is None:
        raise StorageInUseError(directory, "another process has it")
    return handle


def initial_checksum(generation: int) -> bytes:
    """What the first block's checksum covers in place of a checksum before it."""
    return MAGIC + generation.to_bytes(GENERATION_BYTES, "big")
