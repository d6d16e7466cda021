"""What can go wrong with endpoint lists that are stored or exchanged."""

from __future__ import annotations


class MembershipError(Exception):
    """Any error of this package."""


class ListDirectoryError(MembershipError):
    """The directory can't hold an endpoint list; `path` is the directory."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path} {reason}")
        self.path = path


class CorruptListError(MembershipError):
    """The bytes are no complete endpoint list of this format; the message continues the name of the file."""


class ListExchangeError(MembershipError):
    """A request or an answer of the list exchange is malformed, or not sealed with our key."""
