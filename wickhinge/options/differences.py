"""Differences between two versions of the settings, and the lines on which a settings file has its keys."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from wickhinge.options.syntax import Record


def changed_keys(before: msgspec.Struct, after: msgspec.Struct, prefix: str = "") -> Iterator[str]:
    """Yield the dotted keys whose values differ; a list counts as one value.

    Args:
        before: One record of settings.
        after: Another record of the same type.
        prefix: The dotted path of both records, with a dot at its end; "" for the outermost.
    """
    for field in before.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if isinstance(old, msgspec.Struct):
            yield from changed_keys(old, new, f"{prefix}{field}.")
        elif old != new:
            yield f"{prefix}{field}"


def key_lines(record: Record, prefix: str = "") -> dict[str, int]:
    """Return the line of each dotted key that a parsed file gives, as far as it is known.

    Args:
        record: The outermost record of the file.
        prefix: The dotted path of the record, with a dot at its end; "" for the outermost.
    """
    lines: dict[str, int] = {}
    for name, entries in record.entries.items():
        for node, _is_optional in entries:
            if node.line:
                lines.setdefault(f"{prefix}{name}", node.line)
            if node.kind == "record":
                lines = key_lines(node.value, f"{prefix}{name}.") | lines
    return lines
