"""The two files of the remembered list: written on a worker's thread, read once at the start."""

from __future__ import annotations

from wickhinge.membership import stored_list
from wickhinge.store.files import Files, replace


class Unusable(Exception):
    """The directory can't hold a list; the text says why."""


class Keeper:
    """Of two generations one is always whole: the older is replaced, by a rename. All calls may block."""

    def __init__(self, files: Files, path: str) -> None:
        self.files, self.path, self.sequence = files, path, 0
        self.locked: int | None = None

    def at(self, name: str) -> str:
        return f"{self.path}/{name}"

    def open(self) -> None:
        """Raises Unusable."""
        try:
            self.files.make(self.path)
            self.locked = self.files.lock(self.at("lock"))
        except OSError as problem:
            raise Unusable(f"{self.path} can't be used: {problem.strerror or problem}") from None
        if self.locked is None:
            raise Unusable(f"{self.path} is in use by another process")

    def read(self) -> tuple[stored_list.Memory | None, list[str]]:
        """The newest whole list, and what was wrong with others."""
        best, wrong = None, []
        for name in stored_list.NAMES:
            try:
                handle = self.files.open(self.at(name))
            except FileNotFoundError:
                continue
            except OSError as problem:
                wrong.append(f"{name} can't be read: {problem.strerror or problem}")
                continue
            try:
                data = self.files.read(handle, stored_list.LONGEST + stored_list.HEAD.size + 1, 0)
                sequence, memory = stored_list.unpack(data)
            except (OSError, stored_list.Unreadable) as problem:
                wrong.append(f"{name} {problem}")
                continue
            finally:
                self.files.close(handle)
            self.sequence = max(self.sequence, sequence)
            if best is None or sequence > best[0]:
                best = sequence, memory
        return best[1] if best else None, wrong

    def write(self, memory: stored_list.Memory) -> None:
        """Whole and lasting when it returns; the other generation stays as it is."""
        sequence = self.sequence + 1
        replace(self.files, self.path, stored_list.NAMES[sequence % 2], stored_list.pack(memory, sequence))
        self.sequence = sequence

    def close(self) -> None:
        if self.locked is not None:
            self.files.close(self.locked)
            self.locked = None
