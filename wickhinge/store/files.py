"""The thin layer that every file call goes through, so that a test can fail, tear or lose the n-th of them."""

from __future__ import annotations

import fcntl
import os


class Files:
    """The file calls that the router makes. Handles are file descriptors; all calls may raise OSError."""

    def make_directory(self, path: str) -> None:
        """Make a directory, with its parents, where it is missing."""
        os.makedirs(path, mode=0o750, exist_ok=True)

    def list_directory(self, path: str) -> list[str]:
        """The names in a directory, in no order."""
        return os.listdir(path)

    def open(self, path: str, *, write: bool = False, create: bool = False) -> int:
        """Open a file; with `create` it is made, or emptied of what an earlier try may have left there."""
        flags = (os.O_RDWR if write else os.O_RDONLY) | (os.O_CREAT | os.O_TRUNC if create else 0)
        return os.open(path, flags | os.O_CLOEXEC, 0o640)

    def close(self, handle: int) -> None:
        """Close a file."""
        os.close(handle)

    def size(self, handle: int) -> int:
        """The bytes of a file."""
        return os.fstat(handle).st_size

    def read(self, handle: int, size: int, offset: int) -> bytes:
        """Read so many bytes at an offset; less only at the file's end."""
        data = os.pread(handle, size, offset)
        while 0 < len(data) < size:
            more = os.pread(handle, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def write(self, handle: int, data: bytes, offset: int) -> None:
        """Write all of the bytes at an offset."""
        view = memoryview(data)
        while view:
            count = os.pwrite(handle, view, offset)
            view, offset = view[count:], offset + count

    def sync(self, handle: int) -> None:
        """Make a file's bytes durable."""
        os.fsync(handle)

    def sync_directory(self, path: str) -> None:
        """Make the new, renamed and removed names of a directory durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, in place of any that has the new name."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.unlink(path)

    def lock(self, path: str) -> int | None:
        """Lock a file until it is closed or the process ends; None where another process holds the lock."""
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
    """Replace a small file as a whole: whenever the process ends it is the old or the new one; durable on return."""
    path = f"{folder}/{name}"
    handle = files.open(path + ".new", write=True, create=True)
    try:
        files.write(handle, data, 0)
        files.sync(handle)
    finally:
        files.close(handle)
    files.rename(path + ".new", path)
    files.sync_directory(folder)
