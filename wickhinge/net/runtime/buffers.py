"""A pool of buffers of one size, used again: the bound on all bytes of bodies that the router holds."""

from __future__ import annotations

from collections.abc import Callable

BUFFER_BYTES = 32768  # most bodies are 5 to 40 KB, and a buffer half used counts whole


class BufferPool:
    """Gives buffers beyond its limit too, so that what is half read can end, but tells its readers to stop."""

    def __init__(self, limit: int, on_exhausted: Callable[[], None], on_available: Callable[[], None]) -> None:
        """Parameters as named, and these.

        on_exhausted: called when `limit` buffers are out.
        on_available: called once a quarter of them is back.
        """
        self.limit, self._on_exhausted, self._on_available = limit, on_exhausted, on_available
        self.free: list[bytearray] = []
        self.in_use = self.peak_in_use = 0
        self._is_exhausted = False

    def acquire(self) -> bytearray:
        """A buffer of BUFFER_BYTES; what it holds is old."""
        self.in_use += 1
        self.peak_in_use = max(self.peak_in_use, self.in_use)
        if self.in_use >= self.limit and not self._is_exhausted:
            self._is_exhausted = True
            self._on_exhausted()
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def give_back(self, buffer: bytearray) -> None:
        """Takes a buffer back."""
        self.in_use -= 1
        if len(self.free) < self.limit:
            self.free.append(buffer)
        if self._is_exhausted and self.in_use <= self.limit * 3 // 4:
            self._is_exhausted = False
            self._on_available()


class Body:
    """Bytes spread over buffers of the pool."""

    __slots__ = ("pool", "buffers", "length", "start")

    def __init__(self, pool: BufferPool, data: bytes = b"") -> None:
        self.pool, self.length, self.start = pool, 0, 0
        self.buffers: list[bytearray] = []
        if data:
            self.append(memoryview(data))

    def append(self, data: memoryview) -> None:
        """Appends a copy of the bytes."""
        while data:
            start = self.length % BUFFER_BYTES
            if not start:
                self.buffers.append(self.pool.acquire())
            piece = data[: BUFFER_BYTES - start]
            self.buffers[-1][start : start + len(piece)] = piece
            self.length += len(piece)
            data = data[len(piece) :]

    def views(self) -> list[memoryview]:
        """What is left, for a write that copies at once, since the buffers are used again afterwards."""
        views, left, start = [], self.length, self.start
        for buffer in self.buffers:
            end = min(start + left, BUFFER_BYTES)
            views.append(memoryview(buffer)[start:end])
            left -= end - start
            start = 0
        return views

    def drop_written(self, size: int) -> None:
        """Drops the first `size` bytes, which were written."""
        self.length -= size
        self.start += size
        while self.buffers and (self.start >= BUFFER_BYTES or not self.length):
            self.pool.give_back(self.buffers.pop(0))
            self.start -= BUFFER_BYTES

    def release(self) -> None:
        """Gives all buffers back; may be called twice."""
        buffers, self.buffers, self.length = self.buffers, [], 0
        for buffer in buffers:
            self.pool.give_back(buffer)
