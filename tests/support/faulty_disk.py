"""In-memory replacement for wickhinge.store.files.Files that can fail, tear a write or lose unsynced data."""

import errno
import random
from copy import copy


class CrashError(BaseException):
    """Simulated crash: each later read and counted call of the same FaultyDisk raises it too."""


class FakeFile:
    """A file with its current content, the content at the last sync, and the writes since then."""

    def __init__(self):
        self.data, self.synced_content, self.unsynced_writes = bytearray(), b"", []


def write_at(content, offset, data):
    """Write data into a bytearray at an offset, extending it with zero bytes where it is too short."""
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


class FaultyDisk:
    """The file calls of Files on files in memory, with planned faults.

    Attributes:
        planned_fault: Pair of the number of the file call that fails, from 1, and the kind of failure: an errno, "tear"
            (half of the write is done, then EIO) or "crash" (half of the write is done, then CrashError).
        call_count: Number of counted calls; reads, sizes, listings and closes are not counted.
        persistent_error: Errno that every counted call raises; None for no error.
        files: Files by path, as the running program sees them.
        durable_files: Files by path that exist after a loss of power.
    """

    def __init__(self, planned_fault=None):
        self.planned_fault, self.call_count, self.has_crashed = planned_fault, 0, False
        self.files, self.durable_files, self.files_by_handle, self.last_handle, self.locked_paths = {}, {}, {}, 3, set()
        self.persistent_error = None

    def call(self, write=None):
        """Count a file call, and raise the error that is due; `write` is (file, data, offset) for a write."""
        if self.has_crashed:
            raise CrashError
        self.call_count += 1
        if self.planned_fault and self.call_count == self.planned_fault[0]:
            if self.planned_fault[1] in ("tear", "crash") and write:
                file, data, offset = write
                self.write_to_file(file, data[: len(data) // 2], offset)
            if self.planned_fault[1] == "crash":
                self.has_crashed = True
                raise CrashError
            raise OSError(errno.EIO if self.planned_fault[1] == "tear" else self.planned_fault[1], "planted")
        if self.persistent_error:
            raise OSError(self.persistent_error, "planted")

    def make_directory(self, path):
        self.call()

    def list_directory(self, path):
        return [name.rpartition("/")[2] for name in self.files]

    def open(self, path, write=False, create=False):
        self.call()
        if path not in self.files:
            if not create:
                raise FileNotFoundError(errno.ENOENT, "no such file", path)
            self.files[path] = FakeFile()
        elif create:
            self.files[path].data[:] = b""
            self.files[path].unsynced_writes = []
        self.last_handle += 1
        self.files_by_handle[self.last_handle] = self.files[path]
        return self.last_handle

    def close(self, handle):
        self.locked_paths = {
            path for path in self.locked_paths if self.files.get(path) is not self.files_by_handle.get(handle)
        }
        self.files_by_handle.pop(handle, None)

    def size(self, handle):
        return len(self.files_by_handle[handle].data)

    def read(self, handle, size, offset):
        if self.has_crashed:
            raise CrashError
        return bytes(self.files_by_handle[handle].data[offset : offset + size])

    def write_to_file(self, file, data, offset):
        write_at(file.data, offset, data)
        file.unsynced_writes.append((offset, bytes(data)))

    def write(self, handle, data, offset):
        file = self.files_by_handle[handle]
        self.call((file, data, offset))
        self.write_to_file(file, data, offset)

    def sync(self, handle):
        self.call()
        file = self.files_by_handle[handle]
        file.synced_content, file.unsynced_writes = bytes(file.data), []

    def sync_directory(self, path):
        self.call()
        self.durable_files = copy(self.files)

    def rename(self, old, new):
        self.call()
        self.files[new] = self.files.pop(old)

    def remove(self, path):
        self.call()
        if path not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", path)
        del self.files[path]

    def lock(self, path):
        self.call()
        if path in self.locked_paths:
            return None
        self.locked_paths.add(path)
        return self.open(path, write=True, create=True)

    def after_restart(self, seed, power_lost=True):
        """Return a new disk with the files that remain after a crash of the program, or a loss of power.

        After a loss of power, each unsynced directory change and each unsynced write survives by chance; of a write, a
        part may survive. The seed determines which.
        """
        rng, disk = random.Random(seed), FaultyDisk()
        for path in sorted({*self.files, *self.durable_files}):
            file = self.files.get(path)
            if power_lost and self.durable_files.get(path) is not file and rng.random() < 0.5:
                file = self.durable_files.get(path)
            if file is None:
                continue
            restored = disk.files[path] = FakeFile()
            restored.data = bytearray(file.synced_content if power_lost else file.data)
            for offset, data in file.unsynced_writes if power_lost else ():
                surviving_bytes = rng.choice((0, len(data) // 1024 * 512, len(data)))
                if surviving_bytes:
                    write_at(restored.data, offset, data[:surviving_bytes])
            restored.synced_content = bytes(restored.data)
        disk.durable_files = copy(disk.files)
        return disk


class ManualLanes:
    """LaneRunner whose queued calls run in `run_next` and `run_all`: in queue order, or lanes chosen by `rng`.

    Attributes:
        stalled_lanes: Lanes whose calls do not run.
    """

    def __init__(self, rng=None):
        self.queued_calls, self.rng, self.stalled_lanes, self.is_closed = [], rng, set(), False

    def run(self, lane, call, on_done):
        self.queued_calls.append((lane, call, on_done))

    def run_streaming(self, lane, call, on_item, on_done):
        self.run(lane, lambda: call(on_item), on_done)

    def run_next(self):
        """Run one call, the oldest of its lane; return False if no lane has a call that may run."""
        runnable, lanes_seen = [], set()
        for queued in self.queued_calls:
            if queued[0] not in lanes_seen and queued[0] not in self.stalled_lanes:
                runnable.append(queued)
            lanes_seen.add(queued[0])
        if not runnable:
            return False
        queued = self.rng.choice(runnable) if self.rng else runnable[0]
        self.queued_calls.remove(queued)
        _, call, on_done = queued
        try:
            result, error = call(), None
        except Exception as exception:
            result, error = None, exception
        on_done(result, error)
        return True

    def run_all(self):
        while self.run_next():
            pass

    def close(self):
        self.is_closed = True
