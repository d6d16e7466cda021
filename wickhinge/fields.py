"""Checks on the fields of decoded messages and settings, for both fronts. A malformed field is an error, never guessed.

Each function takes a name of the message or object for error messages, the decoded fields, and the name of the field.
It returns the field's value, or raises MalformedError if the field is missing or has another type.
"""

from __future__ import annotations

from typing import Any


class MalformedError(Exception):
    """Input that is malformed. The error message names the message and the field."""


class UnreadableFileError(MalformedError):
    """A file is missing, cannot be read, is empty or is truncated, so that a later attempt to read it may succeed."""


def number(name: str, fields: dict[str, Any], field: str, default: float | None = None) -> float:
    """Return a number, or `default` if the field is missing."""
    value = fields.get(field)
    if type(value) is float or type(value) is int:
        return value
    if value is None and default is not None:
        return default
    raise field_error(name, fields, field, "a number")


def integer(name: str, fields: dict[str, Any], field: str, default: int | None = None) -> int:
    """Return an integer, or `default` if the field is missing. A float without a fraction is accepted."""
    value = fields.get(field)
    if type(value) is int:
        return value
    if value is None and default is not None:
        return default
    if type(value) is float and value.is_integer():
        return int(value)
    raise field_error(name, fields, field, "a whole number")


def seconds(name: str, fields: dict[str, Any], field: str, default: float | None = None) -> float:
    """Return the value in seconds of a field in milliseconds, or of `default` milliseconds if the field is missing."""
    return number(name, fields, field, default) / 1000.0


def text(name: str, fields: dict[str, Any], field: str) -> str:
    """Return a string."""
    value = fields.get(field)
    if type(value) is str:
        return value
    raise field_error(name, fields, field, "a string")


def hexadecimal(name: str, fields: dict[str, Any], field: str, prefix: str = "") -> int:
    """Return the integer that a string gives as hexadecimal digits, after an optional prefix."""
    value = text(name, fields, field)
    try:
        return int(value.removeprefix(prefix), 16)
    except ValueError:
        raise MalformedError(f"{name}: field {field} is not hex digits") from None


def choice(name: str, fields: dict[str, Any], field: str, allowed: Any) -> Any:
    """Return a string that is one of the allowed ones."""
    value = text(name, fields, field)
    if value not in allowed:
        raise MalformedError(f"{name}: field {field} is not one of the allowed values")
    return value


def boolean(name: str, fields: dict[str, Any], field: str, default: bool | None = None) -> bool:
    """Return a boolean, or `default` if the field is missing."""
    value = fields.get(field)
    if type(value) is bool:
        return value
    if value is None and default is not None:
        return default
    raise field_error(name, fields, field, "true or false")


def array(name: str, fields: dict[str, Any], field: str) -> list[Any]:
    """Return a list of any values."""
    value = fields.get(field)
    if type(value) is list:
        return value
    raise field_error(name, fields, field, "a list")


def mappings(name: str, fields: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Return a list of dictionaries, one for each JSON object."""
    values = array(name, fields, field)
    if not all(type(value) is dict for value in values):
        raise field_error(name, fields, field, "a list of objects")
    return values


def mapping(name: str, fields: dict[str, Any], field: str) -> dict[str, Any]:
    """Return a dictionary, which is a JSON object."""
    value = fields.get(field)
    if type(value) is dict:
        return value
    raise field_error(name, fields, field, "an object")


def parse_host_port(text: str) -> tuple[str, int] | None:
    """Return the IPv4 address and the port of a string such as "127.0.0.1:10080"; None if it has another form."""
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    if (
        len(octets) != 4
        or not all(octet.isdigit() and int(octet) < 256 for octet in octets)
        or not (port.isdigit() and 0 < int(port) < 65536)
    ):
        return None
    return host, int(port)


def field_error(name: str, fields: dict[str, Any], field: str, expected: str) -> MalformedError:
    """Return the error for a field that is missing or is not of the expected type."""
    fault = "is missing" if fields.get(field) is None else f"is not {expected}"
    return MalformedError(f"{name}: field {field} {fault}")
