"""Loading of a settings file: read, unify with the schema, and check the rules beyond types and bounds."""

from __future__ import annotations

from importlib import resources
from typing import Any, NamedTuple

import msgspec

from wickhinge.options import validate
from wickhinge.options.differences import key_lines
from wickhinge.options.errors import OptionsError, UnreadableOptionsError
from wickhinge.options.records import Options
from wickhinge.options.syntax import parse
from wickhinge.options.unify import Unifier

MAX_FILE_BYTES = 1 << 20


class LoadedOptions(NamedTuple):
    """The settings of a file, with the line on which the file has each dotted key, as far as it is known."""

    file: str
    options: Options
    lines: dict[str, int]


class OptionsFile:
    """A settings file that is read several times; it is parsed again only if its text has changed."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._text: str | None = None
        self._loaded: LoadedOptions | None = None

    def load(self) -> LoadedOptions:
        """Return the settings that the file holds now.

        Raises:
            OptionsError: The file cannot be read, parsed or used; see `read_text` and `parse_options`.
            UnreadableOptionsError: The file is empty and was not before, as while it is being replaced.
        """
        text = read_text(self._path)
        if self._text is not None and self._text.strip() and not text.strip():
            raise UnreadableOptionsError(self._path, "is empty")
        if self._loaded is None or text != self._text:
            loaded = LoadedOptions(self._path, parse_options(text, self._path), key_lines(parse(text, self._path)))
            self._text, self._loaded = text, loaded
        return self._loaded


def unify_with_schema(package: str, schema: str, source: str, name: str) -> dict[str, Any]:
    """Unify the text of a settings file with a schema and return all values, the schema's defaults included.

    Args:
        package: The package that holds the schema file.
        schema: The schema's file name in the package.
        source: The text of the settings file.
        name: The settings file's name, for error messages.

    Raises:
        OptionsError: The text does not fit the schema; the message names file, line and dotted key.
    """
    schema_record = parse(resources.files(package).joinpath(schema).read_text(), schema)
    return Unifier(schema_record, name).unify(parse(source, name))


def parse_options(source: str, name: str) -> Options:
    """Parse and check the text of a settings file; `name` is the file's name in error messages.

    Raises:
        OptionsError: The text does not fit the schema or the further checks; the message names the dotted key.
    """
    options = msgspec.convert(unify_with_schema("wickhinge.options", "schema.cue", source, name), Options)
    fault = validate.first_fault(options)
    if fault is not None:
        raise OptionsError(name, fault.reason, key=fault.key)
    return options


def read_text(path: str) -> str:
    """Read the text of a settings file.

    Raises:
        OptionsError: The file is longer than MAX_FILE_BYTES.
        UnreadableOptionsError: The file cannot be read, or is not UTF-8.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise UnreadableOptionsError(path, f"cannot be read: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise OptionsError(path, f"holds over {MAX_FILE_BYTES} bytes")
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise UnreadableOptionsError(path, "is not UTF-8") from None


def load(path: str) -> Options:
    """Load and check the settings file at `path`.

    Raises:
        OptionsError: The file cannot be read, parsed or used; see `read_text` and `parse_options`.
    """
    return parse_options(read_text(path), path)
