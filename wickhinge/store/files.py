"""Interface for all file calls of the router, so that a test can replace it and make any single call fail."""

from __future__ import annotations

import fcntl
import os


class Files:
    """File calls of the router. Handles are file descriptors; all methods block and may raise OSError."""

    def make_directory(self, path: str) -> None:
        """Create a directory and its parents where they are missing."""
        os.makedirs(path, mode=0o750, exist_ok=True)

    def list_directory(self, path: str) -> list[str]:
        """Return the names in a directory, in no particular order."""
        return os.listdir(path)

    def open(self, path: str, *, write: bool = False, create: bool = False) -> int:
        """Open a file; `create` creates it, or truncates one that an interrupted earlier attempt left behind."""
        flags = (os.O_RDWR if write else os.O_RDONLY) | (os.O_CREAT | os.O_TRUNC if create else 0)
        return os.open(path, flags | os.O_CLOEXEC, 0o640)

    def close(self, handle: int) -> None:
        """Close a file."""
        os.close(handle)

    def size(self, handle: int) -> int:
        """Return the size of an open file in bytes."""
        return os.fstat(handle).st_size

    def read(self, handle: int, size: int, offset: int) -> bytes:
        """Read `size` bytes at an offset; fewer only at the end of the file."""
        data = os.pread(handle, size, offset)
        while 0 < len(data) < size:
            more = os.pread(handle, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def write(self, handle: int, data: bytes, offset: int) -> None:
        """Write all of `data` at an offset."""
        view = memoryview(data)
        while view:
            count = os.pwrite(handle, view, offset)
            view, offset = view[count:], offset + count

    def sync(self, handle: int) -> None:
        """Make the content of an open file durable."""
        os.fsync(handle)

    def sync_directory(self, path: str) -> None:
        """Make the creation, renaming and removal of files in a directory durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.unlink(path)

    def lock(self, path: str) -> int | None:
        """Lock a file until it is closed or the process ends.

        Returns:
            The handle of the locked file; None if another process holds the lock.
        """
        handle = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(handle)
            return None
        except OSError:
            os.close(handle)
            raise
        return handle


def replace_file(files: Files, folder: str, name: str, data: bytes) -> None:
    """Replace a small file atomically and durably: after a crash it has either the old or the new content."""
    path = f"{folder}/{name}"
    handle = files.open(path + ".new", write=True, create=True)
    try:
        files.write(handle, data, 0)
        files.sync(handle)
    finally:
        files.close(handle)
    files.rename(path + ".new", path)
    files.sync_directory(folder)
