"""A pool of buffers of one size, used again: the bound on all bytes of bodies that the router holds."""

from __future__ import annotations

from collections.abc import Callable

SIZE = 65536


class Pool:
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

    __slots__ = ("pool", "buffers", "length")

    def __init__(self, pool: Pool, data: bytes = b"") -> None:
        self.pool, self.length = pool, 0
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

    def shift(self) -> bytes:
        """The next piece, as a copy, since the transport may hold it while the buffer is used again."""
        if not self.buffers:
            return b""
        buffer = self.buffers.pop(0)
        piece = bytes(memoryview(buffer)[: min(self.length, SIZE)])
        self.length -= len(piece)
        self.pool.give(buffer)
        return piece

    def whole(self) -> bytes:
        ends = [min(self.length - place * SIZE, SIZE) for place in range(len(self.buffers))]
        return b"".join(bytes(memoryview(b)[:end]) for b, end in zip(self.buffers, ends, strict=True))

    def release(self) -> None:
        buffers, self.buffers, self.length = self.buffers, [], 0
        for buffer in buffers:
            self.pool.give(buffer)
