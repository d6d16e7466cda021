"""The keys that routers of one installation share: files named by our settings."""

from __future__ import annotations

from wickhinge.fields import Malformed

LEAST = 16  # bytes


def read(where: str, path: str) -> bytes:
    """Raises Malformed with the setting's name: without its key nothing is told to anybody."""
    try:
        with open(path, "rb") as file:
            key = file.read(4096).strip()
    except OSError as problem:
        raise Malformed(f"{where}: {path} can't be read: {problem.strerror}") from None
    if len(key) < LEAST:
        raise Malformed(f"{where}: {path} holds under {LEAST} bytes")
    return key
