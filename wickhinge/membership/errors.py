"""Errors of endpoint lists that are stored or exchanged with other routers."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of the errors of this package."""


class ListDirectoryError(MembershipError):
    """The directory `path` cannot hold an endpoint list."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path} {reason}")
        self.path = path


class CorruptListError(MembershipError):
    """A file does not hold a complete endpoint list of this format."""


class ListExchangeError(MembershipError):
    """A request or an answer of the list exchange is malformed or not sealed with the exchange key."""
