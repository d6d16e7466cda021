"""The errors of the change log: one hierarchy, each with what it concerns as attributes."""

from __future__ import annotations


class ChangelogError(Exception):
    """The base of all errors of this package."""


class MalformedMessageError(ChangelogError, ValueError):
    """Bytes that are not the message or field that was expected; the text names the fault."""


class MessageTooLongError(ChangelogError, ValueError):
    """A message that does not fit a datagram: a defect of the process that built it.

    Attributes:
        size_bytes: The datagram's size.
        max_bytes: The largest size that is sent.
    """

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes, expected at most {max_bytes}")
        self.size_bytes, self.max_bytes = size_bytes, max_bytes


class InvalidChangeError(ChangelogError, ValueError):
    """A change that no log may hold; the text names the fault."""


class OutOfOrderError(ChangelogError, ValueError):
    """An entry that is not the next one of this log.

    Attributes:
        epoch: The entry's epoch.
        number: The entry's number.
        last_epoch: The log's epoch.
        last_number: The number of the log's last entry.
    """

    def __init__(self, epoch: int, number: int, last_epoch: int, last_number: int) -> None:
        super().__init__(f"entry {epoch}/{number} after {last_epoch}/{last_number}")
        self.epoch, self.number = epoch, number
        self.last_epoch, self.last_number = last_epoch, last_number


class NotLeaderError(ChangelogError):
    """Only the leader takes proposals.

    Attributes:
        leader: The leader's name where it is known, else "".
    """

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader, which is {leader or 'not known'}")
        self.leader = leader


class OverloadedError(ChangelogError):
    """Too many proposals wait for a majority, or too many settings are in force."""


class StorageError(ChangelogError):
    """A replica's files cannot be used.

    Attributes:
        path: The file or directory.
        reason: What is wrong with it.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path, self.reason = path, reason


class StorageMissingError(StorageError):
    """There are no files of a replica in the directory."""


class StorageDamagedError(StorageError):
    """The files do not hold what was written; the reason names the place."""


class StorageInUseError(StorageError):
    """Another process has locked the directory."""


class StorageFailedError(ChangelogError):
    """A replica's storage did not take what it was given: the replica has to end."""
