"""A disk in memory that can fail, tear or lose: the stand-in for wickhinge.store.files.Files."""

import errno
import random
from copy import copy


class CrashError(BaseException):
    """The power went: whoever asks the disk anything after this is dead too."""


class FakeFile:
    def __init__(self):
        self.data, self.synced, self.pending = bytearray(), b"", []


def put(data, offset, piece):
    if len(data) < offset:
        data.extend(bytes(offset - len(data)))
    data[offset : offset + len(piece)] = piece


class FaultyDisk:
    """fault: (call, how), at the call-th call: an errno, "tear" (half a write, then EIO) or "crash"."""

    def __init__(self, planned_fault=None):
        self.planned_fault, self.call_count, self.dead = planned_fault, 0, False
        self.files, self.durable, self.handles, self.next, self.locks = {}, {}, {}, 3, set()
        self.stuck = None  # an errno that every call but a read gets

    def call(self, write=None):
        if self.dead:
            raise CrashError
        self.call_count += 1
        if self.planned_fault and self.call_count == self.planned_fault[0]:
            if self.planned_fault[1] in ("tear", "crash") and write:
                node, data, offset = write
                self.write_node(node, data[: len(data) // 2], offset)
            if self.planned_fault[1] == "crash":
                self.dead = True
                raise CrashError
            raise OSError(errno.EIO if self.planned_fault[1] == "tear" else self.planned_fault[1], "planted")
        if self.stuck:
            raise OSError(self.stuck, "planted")

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
            self.files[path].pending = []
        self.next += 1
        self.handles[self.next] = self.files[path]
        return self.next

    def close(self, handle):
        self.locks = {path for path in self.locks if self.files.get(path) is not self.handles.get(handle)}
        self.handles.pop(handle, None)

    def size(self, handle):
        return len(self.handles[handle].data)

    def read(self, handle, size, offset):
        if self.dead:
            raise CrashError
        return bytes(self.handles[handle].data[offset : offset + size])

    def write_node(self, node, data, offset):
        put(node.data, offset, data)
        node.pending.append((offset, bytes(data)))

    def write(self, handle, data, offset):
        node = self.handles[handle]
        self.call((node, data, offset))
        self.write_node(node, data, offset)

    def sync(self, handle):
        self.call()
        node = self.handles[handle]
        node.synced, node.pending = bytes(node.data), []

    def sync_directory(self, path):
        self.call()
        self.durable = copy(self.files)

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
        if path in self.locks:
            return None
        self.locks.add(path)
        return self.open(path, write=True, create=True)

    def after_restart(self, seed, power_lost=True):
        """The disk after the machine (power_lost) or only the program ended: of what was not synced, some."""
        chance, after = random.Random(seed), FaultyDisk()
        for path in sorted({*self.files, *self.durable}):
            node = self.files.get(path)
            if power_lost and self.durable.get(path) is not node and chance.random() < 0.5:
                node = self.durable.get(path)
            if node is None:
                continue
            new = after.files[path] = FakeFile()
            new.data = bytearray(node.synced if power_lost else node.data)
            for offset, piece in node.pending if power_lost else ():
                kept = chance.choice((0, len(piece) // 1024 * 512, len(piece)))
                if kept:
                    put(new.data, offset, piece[:kept])
            new.synced = bytes(new.data)
        after.durable = copy(after.files)
        return after


class Lanes:
    """Workers by hand: what was asked for runs when `go` is called, in the order of the lanes or by chance."""

    def __init__(self, chance=None):
        self.queue, self.chance, self.stalled, self.closed = [], chance, set(), False

    def run(self, lane, work, then):
        self.queue.append((lane, work, then))

    def run_streaming(self, lane, work, part, then):
        self.run(lane, lambda: work(part), then)

    def step(self):
        """One call, the oldest of its lane; False where none is left that may run."""
        firsts, seen = [], set()
        for entry in self.queue:
            if entry[0] not in seen and entry[0] not in self.stalled:
                firsts.append(entry)
            seen.add(entry[0])
        if not firsts:
            return False
        entry = self.chance.choice(firsts) if self.chance else firsts[0]
        self.queue.remove(entry)
        _, work, then = entry
        try:
            result, problem = work(), None
        except Exception as fault:
            result, problem = None, fault
        then(result, problem)
        return True

    def go(self):
        while self.step():
            pass

    def close(self):
        self.closed = True
