"""Checks on decoded fields, for both fronts: read with care, never guessed; milliseconds become seconds.

Each function takes the name of the message or place for the error's text, the decoded fields and the field's name, and
raises MalformedError where the field is missing or not of its type.
"""

from __future__ import annotations

from typing import Any


class MalformedError(Exception):
    """Bad input; the text names the message and the field.

    Attributes:
        router: the number of the router that the message was for, where it named one.
    """

    def __init__(self, text: str, router: int | None = None) -> None:
        super().__init__(text)
        self.router = router


class UnreadableFileError(MalformedError):
    """A file is absent, cannot be read just now, is empty or cut off: it may be whole at the next try."""


def number(name: str, fields: dict[str, Any], field: str, default: float | None = None) -> float:
    """Return a number; `default` where the field is missing."""
    value = fields.get(field)
    if type(value) is float or type(value) is int:
        return value
    if value is None and default is not None:
        return default
    raise field_error(name, fields, field, "a number")


def integer(name: str, fields: dict[str, Any], field: str, default: int | None = None) -> int:
    """Return a whole number; `default` where the field is missing."""
    value = fields.get(field)
    if type(value) is int:
        return value
    if value is None and default is not None:
        return default
    if type(value) is float and value.is_integer():
        return int(value)
    raise field_error(name, fields, field, "a whole number")


def seconds(name: str, fields: dict[str, Any], field: str, default: float | None = None) -> float:
    """Return the seconds of a field in milliseconds; `default`, in milliseconds, where it is missing."""
    return number(name, fields, field, default) / 1000.0


def text(name: str, fields: dict[str, Any], field: str) -> str:
    """Return a text."""
    value = fields.get(field)
    if type(value) is str:
        return value
    raise field_error(name, fields, field, "a text")


def hexadecimal(name: str, fields: dict[str, Any], field: str, start: str = "") -> int:
    """Return the value of hex digits, behind the prefix `start`."""
    value = text(name, fields, field)
    try:
        return int(value.removeprefix(start), 16)
    except ValueError:
        raise MalformedError(f"{name}: field {field} is not hex digits") from None


def choice(name: str, fields: dict[str, Any], field: str, known: Any) -> Any:
    """Return a text that is among the known ones."""
    value = text(name, fields, field)
    if value not in known:
        raise MalformedError(f"{name}: field {field} holds an unknown word")
    return value


def boolean(name: str, fields: dict[str, Any], field: str, default: bool | None = None) -> bool:
    """Return true or false; `default` where the field is missing."""
    value = fields.get(field)
    if type(value) is bool:
        return value
    if value is None and default is not None:
        return default
    raise field_error(name, fields, field, "true or false")


def array(name: str, fields: dict[str, Any], field: str) -> list[Any]:
    """Return a list."""
    value = fields.get(field)
    if type(value) is list:
        return value
    raise field_error(name, fields, field, "a list")


def mappings(name: str, fields: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Return a list of objects."""
    values = array(name, fields, field)
    if not all(type(value) is dict for value in values):
        raise field_error(name, fields, field, "a list of objects")
    return values


def mapping(name: str, fields: dict[str, Any], field: str) -> dict[str, Any]:
    """Return an object."""
    value = fields.get(field)
    if type(value) is dict:
        return value
    raise field_error(name, fields, field, "an object")


def parse_host_port(text: str) -> tuple[str, int] | None:
    """An IPv4 address and a port, as 127.0.0.1:10080; None for anything else."""
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    if (
        len(octets) != 4
        or not all(o.isdigit() and int(o) < 256 for o in octets)
        or not (port.isdigit() and 0 < int(port) < 65536)
    ):
        return None
    return host, int(port)


def field_error(name: str, fields: dict[str, Any], field: str, wanted: str) -> MalformedError:
    """Return the error for a field that is missing or not what was wanted."""
    fault = "is missing" if fields.get(field) is None else f"is not {wanted}"
    router = fields.get("router")
    return MalformedError(f"{name}: field {field} {fault}", router if type(router) is int else None)
