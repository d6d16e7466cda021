"""A pool of buffers of one size, used again: the bound on all bytes of bodies that the router holds."""

from __future__ import annotations

from collections.abc import Callable

SIZE = 32768  # most bodies are 5 to 40 KB, and a buffer half used counts whole


class BufferPool:
    """Over its limit it still gives, so that what is half read can end, but tells its readers to stop."""

    def __init__(self, limit: int, stop: Callable[[], None], go: Callable[[], None]) -> None:
        self.limit, self.stop, self.go = limit, stop, go
        self.free: list[bytearray] = []
        self.out = self.peak = 0
        self.full = False

    def take(self) -> bytearray:
        self.out += 1
        self.peak = max(self.peak, self.out)
        if self.out >= self.limit and not self.full:
            self.full = True
            self.stop()
        return self.free.pop() if self.free else bytearray(SIZE)

    def give(self, buffer: bytearray) -> None:
        self.out -= 1
        if len(self.free) < self.limit:
            self.free.append(buffer)
        if self.full and self.out <= self.limit * 3 // 4:
            self.full = False
            self.go()


class Body:
    """Bytes spread over buffers of the pool."""

    __slots__ = ("pool", "buffers", "length", "start")

    def __init__(self, pool: BufferPool, data: bytes = b"") -> None:
        self.pool, self.length, self.start = pool, 0, 0
        self.buffers: list[bytearray] = []
        if data:
            self.add(memoryview(data))

    def add(self, data: memoryview) -> None:
        while data:
            start = self.length % SIZE
            if not start:
                self.buffers.append(self.pool.take())
            piece = data[: SIZE - start]
            self.buffers[-1][start : start + len(piece)] = piece
            self.length += len(piece)
            data = data[len(piece) :]

    def views(self) -> list[memoryview]:
        """What is left, for a write that copies at once: afterwards the buffers are used again."""
        views, left, start = [], self.length, self.start
        for buffer in self.buffers:
            end = min(start + left, SIZE)
            views.append(memoryview(buffer)[start:end])
            left -= end - start
            start = 0
        return views

    def spend(self, size: int) -> None:
        """The first bytes have been written."""
        self.length -= size
        self.start += size
        while self.buffers and (self.start >= SIZE or not self.length):
            self.pool.give(self.buffers.pop(0))
            self.start -= SIZE

    def release(self) -> None:
        buffers, self.buffers, self.length = self.buffers, [], 0
        for buffer in buffers:
            self.pool.give(buffer)
