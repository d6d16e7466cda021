"""The one thin layer that every file call goes through, so that a test can fail, tear or lose the n-th of them."""

from __future__ import annotations

import fcntl
import os


class Files:
    """Handles are the system's; a path is a text. All calls may raise OSError."""

    def make(self, path: str) -> None:
        os.makedirs(path, mode=0o750, exist_ok=True)

    def names(self, path: str) -> list[str]:
        return os.listdir(path)

    def open(self, path: str, write: bool = False, create: bool = False) -> int:
        """create: empty, whatever an earlier try may have left there."""
        flags = (os.O_RDWR if write else os.O_RDONLY) | (os.O_CREAT | os.O_TRUNC if create else 0)
        return os.open(path, flags | os.O_CLOEXEC, 0o640)

    def close(self, handle: int) -> None:
        os.close(handle)

    def size(self, handle: int) -> int:
        return os.fstat(handle).st_size

    def read(self, handle: int, size: int, offset: int) -> bytes:
        """Less than size only at the file's end."""
        data = os.pread(handle, size, offset)
        while 0 < len(data) < size:
            more = os.pread(handle, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def write(self, handle: int, data: bytes, offset: int) -> None:
        view = memoryview(data)
        while view:
            count = os.pwrite(handle, view, offset)
            view, offset = view[count:], offset + count

    def sync(self, handle: int) -> None:
        os.fsync(handle)

    def sync_names(self, path: str) -> None:
        """New, renamed and removed names of a directory last from here on."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.replace(old, new)

    def remove(self, path: str) -> None:
        os.unlink(path)

    def lock(self, path: str) -> int | None:
        """None where another process holds it; it goes with the process, however that ends."""
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


def replace(files: Files, folder: str, name: str, data: bytes) -> None:
    """A small file whole or as it was, whenever it ends; lasting when this returns."""
    path = f"{folder}/{name}"
    handle = files.open(path + ".new", write=True, create=True)
    try:
        files.write(handle, data, 0)
        files.sync(handle)
    finally:
        files.close(handle)
    files.rename(path + ".new", path)
    files.sync_names(folder)
