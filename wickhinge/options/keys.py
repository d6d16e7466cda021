"""The keys that routers of one installation share: files named by our settings."""

from __future__ import annotations

from wickhinge.fields import UnreadableFileError

MIN_KEY_BYTES = 16
MAX_KEY_FILE_BYTES = 4096  # what is behind is not read


def read_key(setting: str, path: str) -> bytes:
    """The key in the file that `setting` names, without surrounding whitespace.

    Raises:
        UnreadableFileError: The file cannot be read or the key is too short, as it is while it is being written; the
            text has the setting's name.
    """
    try:
        with open(path, "rb") as file:
            key = file.read(MAX_KEY_FILE_BYTES).strip()
    except OSError as error:
        raise UnreadableFileError(f"{setting}: {path} can't be read: {error.strerror}") from None
    if len(key) < MIN_KEY_BYTES:
        raise UnreadableFileError(f"{setting}: {path} holds under {MIN_KEY_BYTES} bytes")
    return key
