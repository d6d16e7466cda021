"""Errors of the store: unusable directories, unsupported formats and damaged copies."""

from __future__ import annotations


class StoreError(Exception):
    """Base of all errors of this package."""


class UnusableDirectoryError(StoreError):
    """The directory cannot hold a disk tier.

    Attributes:
        path: Path of the directory.
        reason: Why the directory cannot be used, as a message for the operator.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path} {reason}")
        self.path = path
        self.reason = reason


class NewerFormatError(StoreError):
    """The files were written by a later release.

    Attributes:
        version: The format version found.
        supported: The latest format version that this release reads.
    """

    def __init__(self, version: int, supported: int) -> None:
        super().__init__(f"has format {version}; this program reads {supported}")
        self.version = version
        self.supported = supported


class DamagedCopyError(StoreError):
    """The bytes at a copy's location differ from those that were written there.

    Attributes:
        key: Key of the copy's object.
        part: Index of the copy's part in the object.
        segment: Number of the segment that was read.
        offset: Byte offset in the segment at which the record was expected.
    """

    def __init__(self, expected: str, key: int, part: int, segment: int, offset: int) -> None:
        super().__init__(f"expected {expected} of object {key:016x} part {part} in segment {segment} at {offset}")
        self.key = key
        self.part = part
        self.segment = segment
        self.offset = offset
