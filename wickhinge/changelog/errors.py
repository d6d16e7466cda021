"""The errors of the change log: one hierarchy, with the objects that an error concerns as attributes."""

from __future__ import annotations


class ChangelogError(Exception):
    """The base class of all errors of the change log."""


class MalformedMessageError(ChangelogError, ValueError):
    """Bytes are not the expected message, file or field; the text says what was found."""


class MessageTooLongError(ChangelogError, ValueError):
    """A message does not fit into a datagram, which is a defect of the process that built it.

    Attributes:
        size_bytes: The datagram's size.
        max_bytes: The greatest size of a datagram that is sent.
    """

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes in a datagram, expected at most {max_bytes}")
        self.size_bytes, self.max_bytes = size_bytes, max_bytes


class InvalidChangeError(ChangelogError, ValueError):
    """A change has a field that is out of its bounds, so that no log may contain it."""


class OutOfOrderError(ChangelogError, ValueError):
    """An entry that was to be appended to a log does not follow the log's last entry.

    Attributes:
        epoch: The entry's epoch.
        number: The entry's number.
        last_epoch: The log's epoch.
        last_number: The number of the log's last entry.
    """

    def __init__(self, epoch: int, number: int, last_epoch: int, last_number: int) -> None:
        super().__init__(f"entry {epoch}/{number} does not follow the log's last entry {last_epoch}/{last_number}")
        self.epoch, self.number = epoch, number
        self.last_epoch, self.last_number = last_epoch, last_number


class NotLeaderError(ChangelogError):
    """A change was proposed to a replica that is not the leader.

    Attributes:
        leader: The leader's name, "" where it is not known.
    """

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader, which is {leader or 'not known'}")
        self.leader = leader


class OverloadedError(ChangelogError):
    """A proposal was rejected because too many proposals are uncommitted, or too many settings are in force."""


class StorageError(ChangelogError):
    """A replica's files cannot be used.

    Attributes:
        path: The file or directory that cannot be used.
        reason: Why it cannot be used.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path, self.reason = path, reason


class StorageMissingError(StorageError):
    """The directory has no files of a replica."""


class StorageDamagedError(StorageError):
    """A file's content differs from what a replica wrote; the reason says where."""


class StorageInUseError(StorageError):
    """The directory is locked by another process."""


class StorageFailedError(ChangelogError):
    """A replica's storage failed to persist an effect, so that the replica has to stop."""
