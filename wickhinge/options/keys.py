"""Reading of the secret keys that the processes of one installation share, from files that the settings name."""

from __future__ import annotations

from wickhinge.fields import UnreadableFileError

MIN_KEY_BYTES = 16
MAX_KEY_FILE_BYTES = 4096  # Bytes after the first 4096 of a key file are ignored.


def read_key(setting: str, path: str) -> bytes:
    """Read the key in the file at `path`, without the whitespace around it.

    Args:
        setting: The dotted key of the setting that names the file, for error messages.
        path: The key file.

    Raises:
        UnreadableFileError: The file cannot be read, or the key is too short, as while the file is being written;
            the message starts with `setting`.
    """
    try:
        with open(path, "rb") as file:
            key = file.read(MAX_KEY_FILE_BYTES).strip()
    except OSError as error:
        raise UnreadableFileError(f"{setting}: {path} can't be read: {error.strerror}") from None
    if len(key) < MIN_KEY_BYTES:
        raise UnreadableFileError(f"{setting}: {path} holds a key of fewer than {MIN_KEY_BYTES} bytes")
    return key
