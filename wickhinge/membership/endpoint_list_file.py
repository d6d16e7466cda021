"""The two files of the stored endpoint list, written by a worker thread and read once at the start."""

from __future__ import annotations

from wickhinge.membership import stored_list
from wickhinge.membership.errors import CorruptListError, ListDirectoryError
from wickhinge.membership.stored_list import StoredList
from wickhinge.store.files import Files, replace_file

_LOCK_FILE_NAME = "lock"


class EndpointListFile:
    """Directory with the two latest versions of the stored list, of which at least one is complete at any time.

    A write replaces the older version by renaming a new file. All calls may block.
    """

    def __init__(self, files: Files, directory: str) -> None:
        self._files, self._directory, self._sequence = files, directory, 0
        self._lock_handle: int | None = None

    def open(self) -> None:
        """Create the directory if it is missing, and lock it until `close`.

        Raises:
            ListDirectoryError: The directory cannot be used, or another process uses it.
        """
        try:
            self._files.make_directory(self._directory)
            self._lock_handle = self._files.lock(self._file_path(_LOCK_FILE_NAME))
        except OSError as error:
            raise ListDirectoryError(self._directory, f"cannot be used: {error.strerror or error}") from None
        if self._lock_handle is None:
            raise ListDirectoryError(self._directory, "is in use by another process")

    def read(self) -> tuple[StoredList | None, list[str]]:
        """Return the newest complete list, and an error message for each file that holds none.

        The list is None if neither file holds a complete one.
        """
        newest_file: tuple[int, StoredList] | None = None
        problems = []
        for name in stored_list.FILE_NAMES:
            try:
                data = self._read_file(name)
                if data is None:
                    continue
                sequence, stored = stored_list.decode(data)
            except (OSError, CorruptListError) as error:
                problems.append(f"{name}: {error}")
                continue
            self._sequence = max(self._sequence, sequence)
            if newest_file is None or sequence > newest_file[0]:
                newest_file = sequence, stored
        return newest_file[1] if newest_file else None, problems

    def _read_file(self, name: str) -> bytes | None:
        """Return the content of a file of the directory, or None if it does not exist."""
        try:
            handle = self._files.open(self._file_path(name))
        except FileNotFoundError:
            return None
        except OSError as error:
            raise CorruptListError(f"the file cannot be read: {error.strerror or error}") from None
        try:
            return self._files.read(handle, stored_list.MAX_FILE_BYTES + 1, 0)
        finally:
            self._files.close(handle)

    def write(self, stored: StoredList) -> None:
        """Replace the older version of the list; the new one is on disk when this returns.

        Raises:
            OSError: The file cannot be written. The newer version is intact.
        """
        sequence = self._sequence + 1
        name = stored_list.FILE_NAMES[sequence % len(stored_list.FILE_NAMES)]
        replace_file(self._files, self._directory, name, stored_list.encode(stored, sequence))
        self._sequence = sequence

    def close(self) -> None:
        """Unlock the directory."""
        if self._lock_handle is not None:
            self._files.close(self._lock_handle)
            self._lock_handle = None

    def _file_path(self, name: str) -> str:
        return f"{self._directory}/{name}"
