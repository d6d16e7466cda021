"""A pool of reusable buffers of one size, which bounds the memory for all bodies that the router holds."""

from __future__ import annotations

from collections.abc import Callable

from wickhinge.net.runtime.memory_budget import MemoryAccount

# Most bodies have 5 to 40 KB. A larger buffer would waste memory, since a partly used one counts in full.
BUFFER_BYTES = 32768
MAX_FREE_BUFFERS = 8  # Buffers that are kept for use again; others are given back to the system's allocator.


class BufferPool:
    """A pool that has a limit, at which its owner stops reading.

    Buffers are also handed out beyond the limit, so that bodies that are partly read can be completed.

    Attributes:
        free: Buffers that are not in use.
        in_use: The number of buffers that are in use.
        peak_in_use: The largest number of buffers that were in use at a time.
        is_exhausted: Whether the limit was reached, and not yet a quarter of it is available again.
    """

    def __init__(
        self,
        limit: int,
        on_exhausted: Callable[[], None],
        on_available: Callable[[], None],
        account: MemoryAccount | None = None,
    ) -> None:
        """Start with no buffers.

        Args:
            limit: The number of buffers that should be in use at most.
            on_exhausted: Called when `limit` buffers are in use.
            on_available: Called after that, as soon as a quarter of the limit is available again.
            account: Where the buffers, used and free, are counted as memory that is held.
        """
        self.limit, self._on_exhausted, self._on_available = limit, on_exhausted, on_available
        self._account = account
        self.free: list[bytearray] = []
        self.in_use = self.peak_in_use = 0
        self.is_exhausted = False

    def acquire(self) -> bytearray:
        """Return a buffer of BUFFER_BYTES with arbitrary content."""
        self.in_use += 1
        self.peak_in_use = max(self.peak_in_use, self.in_use)
        if self.in_use >= self.limit and not self.is_exhausted:
            self.is_exhausted = True
            self._on_exhausted()
        if self.free:
            return self.free.pop()
        if self._account is not None:
            self._account.add(BUFFER_BYTES)
        return bytearray(BUFFER_BYTES)

    def give_back(self, buffer: bytearray) -> None:
        """Return a buffer to the pool."""
        self.in_use -= 1
        if len(self.free) < MAX_FREE_BUFFERS:
            self.free.append(buffer)
        elif self._account is not None:
            self._account.add(-BUFFER_BYTES)
        if self.is_exhausted and self.has_room():
            self.is_exhausted = False
            self._on_available()

    def has_room(self) -> bool:
        """Return whether a quarter of the limit is available."""
        return self.in_use <= self.limit * 3 // 4


class Body:
    """The bytes of a body, stored in buffers of a pool; those that have been written are dropped from the front.

    Attributes:
        length: The number of bytes that are left.
        start: The position of the first byte in the first buffer.
    """

    __slots__ = ("pool", "buffers", "length", "start")

    def __init__(self, pool: BufferPool, data: bytes = b"") -> None:
        self.pool, self.length, self.start = pool, 0, 0
        self.buffers: list[bytearray] = []
        if data:
            self.append(memoryview(data))

    def append(self, data: memoryview) -> None:
        """Append a copy of the data."""
        while data:
            start = self.length % BUFFER_BYTES
            if not start:
                self.buffers.append(self.pool.acquire())
            piece = data[: BUFFER_BYTES - start]
            self.buffers[-1][start : start + len(piece)] = piece
            self.length += len(piece)
            data = data[len(piece) :]

    def views(self) -> list[memoryview]:
        """Return views of the bytes that are left; a view must be copied before the body is changed or released."""
        views, remaining, start = [], self.length, self.start
        for buffer in self.buffers:
            end = min(start + remaining, BUFFER_BYTES)
            views.append(memoryview(buffer)[start:end])
            remaining -= end - start
            start = 0
        return views

    def drop_written(self, size: int) -> None:
        """Drop the first `size` bytes after they were written."""
        self.length -= size
        self.start += size
        while self.buffers and (self.start >= BUFFER_BYTES or not self.length):
            self.pool.give_back(self.buffers.pop(0))
            self.start -= BUFFER_BYTES

    def release(self) -> None:
        """Give all buffers back to the pool; does nothing the second time."""
        buffers, self.buffers, self.length = self.buffers, [], 0
        for buffer in buffers:
            self.pool.give_back(buffer)
