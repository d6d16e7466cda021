"""The answers to one client that are not written yet, in order."""

from __future__ import annotations

from typing import Any

from wickhinge.net.runtime.buffers import Body
from wickhinge.net.runtime.memory_budget import MemoryAccount

# Pieces of data that one system call writes.
MAX_PIECES_PER_WRITE = 64


class ServedAnswer:
    """An answer with a body: the bytes before it, the body, and the bytes behind it.

    Attributes:
        call_id: The id of the request on its connection.
        is_begun: Whether any byte of the answer was written.
    """

    __slots__ = ("call_id", "is_begun", "_header", "_body", "_trailer")

    def __init__(self, call_id: int, header: bytes, body: Body, trailer: bytes) -> None:
        self.call_id, self.is_begun = call_id, False
        self._header, self._body, self._trailer = header, body, trailer

    def __len__(self) -> int:
        """Return the bytes that are left."""
        return len(self._header) + self._body.length + len(self._trailer)

    def body_bytes(self) -> int:
        """Return the bytes of the body that are left."""
        return self._body.length

    def views(self) -> list[Any]:
        """Return the pieces that are left."""
        return [piece for piece in (self._header, *self._body.views(), self._trailer) if len(piece)]

    def drop_written(self, size: int) -> None:
        """Drop the first `size` bytes, fewer than there are, after they were written."""
        self.is_begun = self.is_begun or size > 0
        from_header = min(size, len(self._header))
        self._header = self._header[from_header:]
        from_body = min(size - from_header, self._body.length)
        self._body.drop_written(from_body)
        self._trailer = self._trailer[size - from_header - from_body :]

    def release(self) -> None:
        """Give the buffers of the body back."""
        self._body.release()


class WriteQueue:
    """The queue; errors and answers to pings are bytes in it.

    Attributes:
        plain_bytes: Bytes of errors and answers to pings.
    """

    __slots__ = ("plain_bytes", "_items", "_account")

    def __init__(self, account: MemoryAccount) -> None:
        self.plain_bytes = 0
        self._items: list[bytes | ServedAnswer] = []  # It is short: a client has few requests open.
        self._account = account

    def __bool__(self) -> bool:
        """Return whether anything is left to write."""
        return bool(self._items)

    def append(self, item: bytes | ServedAnswer) -> None:
        """Add an answer at the end."""
        self._items.append(item)
        if isinstance(item, bytes):
            self._count_plain(len(item))

    def views(self) -> list[Any]:
        """Return the first pieces, as many as one system call takes; they must be written before the queue changes."""
        views: list[Any] = []
        for item in self._items:
            views += [item] if isinstance(item, bytes) else item.views()
            if len(views) >= MAX_PIECES_PER_WRITE:
                break
        return views

    def drop_written(self, size: int) -> None:
        """Drop the first `size` bytes after they were written."""
        while size > 0 and self._items:
            item = self._items[0]
            remaining = len(item)
            if isinstance(item, bytes):
                self._count_plain(-min(remaining, size))
            if remaining > size:
                self._drop_from_first(item, size)
                return
            size -= remaining
            del self._items[0]
            if not isinstance(item, bytes):
                item.release()

    def _drop_from_first(self, item: bytes | ServedAnswer, size: int) -> None:
        if isinstance(item, bytes):
            self._items[0] = item[size:]
        else:
            item.drop_written(size)

    def unbegun_body_bytes(self) -> int:
        """Return the bytes of the bodies of answers of which nothing was written."""
        return sum(item.body_bytes() for item in self._items if not isinstance(item, bytes) and not item.is_begun)

    def remove_unbegun(self) -> list[int]:
        """Remove the answers with a body of which nothing was written; return the ids of their requests."""
        unbegun = [item for item in self._items if not isinstance(item, bytes) and not item.is_begun]
        self._items = [item for item in self._items if isinstance(item, bytes) or item.is_begun]
        for answer in unbegun:
            answer.release()
        return [answer.call_id for answer in unbegun]

    def clear(self) -> None:
        """Drop everything; called when the connection has ended."""
        for item in self._items:
            if not isinstance(item, bytes):
                item.release()
        self._items.clear()
        self._count_plain(-self.plain_bytes)

    def _count_plain(self, size: int) -> None:
        self.plain_bytes += size
        if size:
            self._account.add(size)
