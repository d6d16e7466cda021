"""A replica's stable storage: a snapshot file and an append-only file of checksummed records.

    snapshot             "WLS1" generation:8 encoded snapshot (by snapshots.encode_snapshot, with a checksum)
    records.GENERATION   blocks = length:4 checksum:8 payload        payload = one Persist (by record_blocks)

A block's checksum covers the checksum of the block before it, so that a block that remains in the file from before a
crash is never taken for the successor of a newer block.

Each new snapshot begins a generation. First its records file, with the current state as one block, is written and
synced. Then the snapshot file is replaced by rename, and from that moment the new generation is valid.

When the files are opened, an incomplete last block is cut off, as a crash can explain it. A damaged block that is not
the last one makes opening fail, because votes and entries that other replicas rely on may be lost with it.
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
from wickhinge.changelog.record_blocks import (
    BLOCK_HEADER_BYTES,
    LENGTH_BYTES,
    encode_persist,
    frame_block,
    read_blocks,
)
from wickhinge.changelog.snapshots import decode_snapshot, encode_snapshot
from wickhinge.changelog.stored import StoredState
from wickhinge.store.files import Files, replace_file

FILE_MAGIC = b"WLS1"
SNAPSHOT_FILE, RECORDS_FILE_PREFIX, LOCK_FILE = "snapshot", "records.", "lock"
GENERATION_BYTES = 8
MAX_SNAPSHOT_FILE_BYTES = 16_000_000
MAX_RECORDS_FILE_BYTES = 256_000_000


class ReplicaState:
    """The result of all effects so far, in memory."""

    def __init__(self, stored_state: StoredState) -> None:
        self.epoch, self.term, self.vote = stored_state.epoch, stored_state.term, stored_state.vote
        self.snapshot = stored_state.snapshot
        self.records = list(stored_state.records)

    def to_stored_state(self) -> StoredState:
        """Return the state as a replica gets it at its start."""
        return StoredState(self.epoch, self.term, self.vote, self.snapshot, tuple(self.records))

    def persist(self, effect: Persist) -> None:
        """Set epoch, term and vote, and change the end of the log."""
        self.epoch, self.term, self.vote = effect.epoch, effect.term, effect.vote
        while self.records and self.records[-1].entry.number > effect.truncate_after:
            self.records.pop()
        self.records += effect.records

    def persist_snapshot(self, effect: PersistSnapshot) -> None:
        """Set the snapshot, and remove the records that it replaces."""
        self.snapshot = effect.snapshot
        last_number = effect.snapshot.number
        self.records = [record for record in self.records if record.entry.number > last_number and not effect.clear]

    def to_persist_effect(self) -> Persist:
        """Return the effect that results in this state if it is applied to the snapshot alone."""
        return Persist(self.epoch, self.term, self.vote, self.snapshot.number, tuple(self.records))


class MemoryStorage:
    """A Storage in memory, which is lost when the process ends; used by tests and benchmarks."""

    def __init__(self, stored_state: StoredState | None = None) -> None:
        self._state = ReplicaState(stored_state or StoredState())

    @property
    def stored_state(self) -> StoredState:
        """The result of all effects so far."""
        return self._state.to_stored_state()

    def persist(self, effect: Persist) -> None:
        """Set epoch, term and vote, and change the end of the log."""
        self._state.persist(effect)

    def persist_snapshot(self, effect: PersistSnapshot) -> None:
        """Set the snapshot, and remove the records that it replaces."""
        self._state.persist_snapshot(effect)

    def close(self) -> None:
        """Do nothing, as there are no files to release."""


class FileStorage:
    """The files of one replica, in a directory that no other replica uses.

    `create` begins a new log in the directory, `open` continues the existing one.
    """

    def __init__(self, files: Files, directory: str, lock_handle: int, generation: int, state: ReplicaState) -> None:
        self._files, self._directory, self._lock_handle = files, directory, lock_handle
        self._generation, self._state = generation, state
        self._records_handle = -1
        # Position in the records file after its last complete block, where the next block is written.
        self._records_end = 0
        # Checksum of the last complete block of the records file.
        self._last_checksum = b""
        self._has_failed = False

    @classmethod
    def create(cls, directory: str, stored_state: StoredState, files: Files) -> FileStorage:
        """Begin a new log with `stored_state` as its first state, and never replace an existing file.

        Raises:
            FileExistsError: The directory contains a replica's state already.
            StorageInUseError: Another process has locked the directory.
            OSError: The files cannot be written.
        """
        files.make_directory(directory)
        lock_handle = acquire_lock(files, directory)
        storage = cls(files, directory, lock_handle, 0, ReplicaState(stored_state))
        try:
            if SNAPSHOT_FILE in files.list_directory(directory):
                raise FileExistsError(f"{directory}/{SNAPSHOT_FILE}: the directory contains a replica's state already")
            storage._begin_generation()
        except BaseException:
            storage.close()
            raise
        return storage

    @classmethod
    def open(cls, directory: str, files: Files) -> FileStorage:
        """Open the files that an earlier process has written.

        Raises:
            StorageMissingError: There are no files of a replica.
            StorageDamagedError: A file's content differs from what was written.
            StorageInUseError: Another process has locked the directory.
            OSError: The files cannot be read or written.
        """
        try:
            lock_handle = acquire_lock(files, directory)
        except FileNotFoundError:
            raise StorageMissingError(directory, "no such directory") from None
        storage = cls(files, directory, lock_handle, 0, ReplicaState(StoredState()))
        try:
            storage._recover()
        except BaseException:
            storage.close()
            raise
        return storage

    @property
    def stored_state(self) -> StoredState:
        """The result of all effects that have been persisted."""
        return self._state.to_stored_state()

    def persist(self, effect: Persist) -> None:
        """Append a block to the records file and sync it.

        After an OSError it is not known what was written, so all later calls raise OSError, too.
        """
        self._check_usable()
        block = frame_block(encode_persist(effect), self._last_checksum)
        try:
            self._files.write(self._records_handle, block, self._records_end)
            self._files.sync(self._records_handle)
        except OSError:
            self._has_failed = True
            raise
        self._records_end += len(block)
        self._last_checksum = block[LENGTH_BYTES:BLOCK_HEADER_BYTES]
        self._state.persist(effect)

    def persist_snapshot(self, effect: PersistSnapshot) -> None:
        """Begin a new generation of files with a snapshot.

        After an OSError it is not known what was written, so all later calls raise OSError, too.
        """
        self._check_usable()
        self._state.persist_snapshot(effect)
        try:
            self._begin_generation()
        except OSError:
            self._has_failed = True
            raise

    def close(self) -> None:
        """Release the files and the lock; may be called more than once."""
        for handle in (self._records_handle, self._lock_handle):
            if handle >= 0:
                self._files.close(handle)
        self._records_handle = self._lock_handle = -1

    def _check_usable(self) -> None:
        if self._has_failed:
            raise OSError(errno.EIO, f"{self._directory}: an earlier write failed")

    def _begin_generation(self) -> None:
        generation = self._generation + 1
        path = f"{self._directory}/{RECORDS_FILE_PREFIX}{generation}"
        handle = self._files.open(path, write=True, create=True)
        try:
            block = frame_block(encode_persist(self._state.to_persist_effect()), initial_checksum(generation))
            self._files.write(handle, block, 0)
            self._files.sync(handle)
            self._files.sync_directory(self._directory)
            head = FILE_MAGIC + generation.to_bytes(GENERATION_BYTES, "big")
            replace_file(self._files, self._directory, SNAPSHOT_FILE, head + encode_snapshot(self._state.snapshot))
        except OSError:
            self._files.close(handle)
            raise
        previous_handle, self._records_handle = self._records_handle, handle
        self._generation, self._records_end, self._last_checksum = (
            generation,
            len(block),
            block[LENGTH_BYTES:BLOCK_HEADER_BYTES],
        )
        if previous_handle >= 0:
            self._files.close(previous_handle)
        self._remove_other_generations()

    def _remove_other_generations(self) -> None:
        """Remove the records files of other generations; a failed removal is repeated with the next generation."""
        for name in self._files.list_directory(self._directory):
            if name.startswith(RECORDS_FILE_PREFIX) and name != f"{RECORDS_FILE_PREFIX}{self._generation}":
                with contextlib.suppress(OSError):
                    self._files.remove(f"{self._directory}/{name}")

    def _recover(self) -> None:
        names = self._files.list_directory(self._directory)
        if SNAPSHOT_FILE not in names:
            raise StorageMissingError(self._directory, f"contains no file named {SNAPSHOT_FILE}")
        self._generation, snapshot = self._read_snapshot()
        records_file = f"{RECORDS_FILE_PREFIX}{self._generation}"
        if records_file not in names:
            raise StorageDamagedError(f"{self._directory}/{records_file}", "is missing")
        self._records_handle = self._files.open(f"{self._directory}/{records_file}", write=True)
        data = self._files.read(self._records_handle, MAX_RECORDS_FILE_BYTES, 0)
        self._state = ReplicaState(StoredState(snapshot=snapshot))
        try:
            effects, self._records_end, self._last_checksum = read_blocks(data, initial_checksum(self._generation))
        except MalformedMessageError as fault:
            raise StorageDamagedError(f"{self._directory}/{records_file}", str(fault)) from None
        for effect in effects:
            self._state.persist(effect)
        # Bytes of an incomplete last block must not remain after blocks that are written from now on.
        if self._records_end < len(data):
            self._begin_generation()

    def _read_snapshot(self) -> tuple[int, Snapshot]:
        path = f"{self._directory}/{SNAPSHOT_FILE}"
        handle = self._files.open(path)
        try:
            data = self._files.read(handle, MAX_SNAPSHOT_FILE_BYTES, 0)
        finally:
            self._files.close(handle)
        start = len(FILE_MAGIC) + GENERATION_BYTES
        if data[: len(FILE_MAGIC)] != FILE_MAGIC:
            raise StorageDamagedError(path, "does not begin with the mark of a snapshot file")
        try:
            return int.from_bytes(data[len(FILE_MAGIC) : start], "big"), decode_snapshot(data[start:])
        except MalformedMessageError as fault:
            raise StorageDamagedError(path, str(fault)) from None


def acquire_lock(files: Files, directory: str) -> int:
    """Lock a replica's directory and return the handle of its lock file.

    Raises:
        StorageInUseError: Another process has locked the directory.
    """
    handle = files.lock(f"{directory}/{LOCK_FILE}")
    if handle is None:
        raise StorageInUseError(directory, "another process has locked it")
    return handle


def initial_checksum(generation: int) -> bytes:
    """Return the bytes that the first block's checksum covers in place of the checksum of an earlier block."""
    return FILE_MAGIC + generation.to_bytes(GENERATION_BYTES, "big")
