"""The two files of the stored endpoint list: written on a worker's thread, read once at the start."""

from __future__ import annotations

from wickhinge.membership import stored_list
from wickhinge.membership.errors import CorruptListError, ListDirectoryError
from wickhinge.membership.stored_list import StoredList
from wickhinge.store.files import Files, replace_file

_LOCK_NAME = "lock"


class EndpointListFile:
    """A directory with two generations of a list, of which one is complete at every moment.

    The older generation is replaced by a rename. All calls may block.
    """

    def __init__(self, files: Files, path: str) -> None:
        self._files, self._path, self._sequence = files, path, 0
        self._lock: int | None = None

    def open(self) -> None:
        """Makes the directory where it is missing, and locks it until `close`.

        Raises:
            ListDirectoryError: it can't be used, or another process uses it.
        """
        try:
            self._files.make_directory(self._path)
            self._lock = self._files.lock(self._path_of(_LOCK_NAME))
        except OSError as error:
            raise ListDirectoryError(self._path, f"can't be used: {error.strerror or error}") from None
        if self._lock is None:
            raise ListDirectoryError(self._path, "is in use by another process")

    def read(self) -> tuple[StoredList | None, list[str]]:
        """The newest complete list, and what was wrong with each file that holds none."""
        newest: tuple[int, StoredList] | None = None
        problems = []
        for name in stored_list.FILE_NAMES:
            try:
                data = self._read_file(name)
                if data is None:
                    continue
                sequence, stored = stored_list.decode(data)
            except (OSError, CorruptListError) as error:
                problems.append(f"{name} {error}")
                continue
            self._sequence = max(self._sequence, sequence)
            if newest is None or sequence > newest[0]:
                newest = sequence, stored
        return newest[1] if newest else None, problems

    def _read_file(self, name: str) -> bytes | None:
        """None where there is no such file."""
        try:
            handle = self._files.open(self._path_of(name))
        except FileNotFoundError:
            return None
        except OSError as error:
            raise CorruptListError(f"can't be read: {error.strerror or error}") from None
        try:
            return self._files.read(handle, stored_list.MAX_FILE_BYTES + 1, 0)
        finally:
            self._files.close(handle)

    def write(self, stored: StoredList) -> None:
        """Replaces the older generation; lasting when it returns. May raise OSError."""
        sequence = self._sequence + 1
        name = stored_list.FILE_NAMES[sequence % len(stored_list.FILE_NAMES)]
        replace_file(self._files, self._path, name, stored_list.encode(stored, sequence))
        self._sequence = sequence

    def close(self) -> None:
        """Gives the directory free."""
        if self._lock is not None:
            self._files.close(self._lock)
            self._lock = None

    def _path_of(self, name: str) -> str:
        return f"{self._path}/{name}"
