"""Unifies an operator's file with a schema: types, bounds, defaults. A key that the schema does not name is a fault."""

from __future__ import annotations

from operator import ge, gt, le, lt, ne
from typing import Any

from wickhinge.options.errors import OptionsError
from wickhinge.options.syntax import Node, Record

COMPARISONS = {">=": ge, "<=": le, ">": gt, "<": lt, "!=": ne}
TYPES = {"string": str, "bool": bool, "bytes": str}


def is_numeric(value: Any) -> bool:
    """Whether a literal is a number; true and false are none."""
    return isinstance(value, int | float) and not isinstance(value, bool)


class Unifier:
    """One operator's file `name` against the schema. All methods raise OptionsError."""

    def __init__(self, schema: Record, name: str) -> None:
        self._schema, self._name = schema, name

    def unify(self, given: Record) -> dict[str, Any]:
        """The values of the file, with the schema's defaults for what it does not give."""
        return self._record(self._schema, given, "", 1)

    def _error(self, line: int, key: str, reason: str) -> OptionsError:
        return OptionsError(self._name, reason, key=key, line=line)

    def _record(self, schema: Record, given: Record, prefix: str, line: int) -> dict[str, Any]:
        """The values of a record whose keys begin with `prefix`."""
        for name, entries in given.entries.items():
            if name not in schema.entries or name.startswith("#"):
                raise self._error(entries[0][0].line, f"{prefix}{name}", "is no setting")
        values = {}
        for name, entries in schema.entries.items():
            if name.startswith("#"):
                continue
            (expected, optional), nodes = entries[0], [node for node, _ in given.entries.get(name, [])]
            if nodes:
                values[name] = self._field(expected, nodes, f"{prefix}{name}")
            elif not optional:
                values[name] = self._default(expected, f"{prefix}{name}", line)
        return values

    def _field(self, expected: Node, nodes: list[Node], key: str) -> Any:
        """The value of a field that is given once or more: records are joined, other values must be the same."""
        value = self._value(expected, nodes[0], key)
        if len(nodes) == 1:
            return value
        if all(node.kind == "record" for node in nodes):
            joined = Record()
            for node in nodes:
                for name, entries in node.value.entries.items():
                    joined.entries.setdefault(name, []).extend(entries)
            return self._value(expected, Node("record", joined, nodes[0].line), key)
        if any(self._value(expected, node, key) != value for node in nodes[1:]):
            raise self._error(nodes[-1].line, key, "is told twice, and differently")
        return value

    def _resolve(self, node: Node) -> Node:
        while node.kind == "reference":
            if node.value not in self._schema.entries:
                raise self._error(node.line, node.value, "is not defined")
            node = self._schema.entries[node.value][0][0]
        return node

    def _default(self, expected: Node, key: str, line: int) -> Any:
        expected = self._resolve(expected)
        if expected.kind == "record":
            return self._record(expected.value, Record(), f"{key}.", line)
        if expected.kind in ("literal", "list"):
            return expected.value
        for node in expected.value if expected.kind == "either" else ():
            if node.default:
                return self._default(Node(node.kind, node.value, node.line), key, line)
        raise self._error(line, key, "is missing")

    def _value(self, expected: Node, given: Node, key: str) -> Any:
        expected = self._resolve(expected)
        if given.kind not in ("literal", "record", "list"):
            raise self._error(given.line, key, "is no value; types and bounds belong in the schema")
        if expected.kind == "record":
            if given.kind != "record":
                raise self._error(given.line, key, "is not a record")
            return self._record(expected.value, given.value, f"{key}.", given.line)
        if expected.kind == "every":
            if given.kind != "list":
                raise self._error(given.line, key, "is not a list")
            return [self._value(expected.value, node, f"{key}[{place}]") for place, node in enumerate(given.value)]
        if expected.kind == "either":
            return self._alternative(expected.value, given, key)
        if expected.kind == "both":
            value = None
            for node in expected.value:
                value = self._value(node, given, key)
            return value
        return self._plain(expected, given, key)

    def _alternative(self, alternatives: list[Node], given: Node, key: str) -> Any:
        """The value by the first alternative that it fits; else the fault by the first one that is no literal."""
        errors = []
        for node in alternatives:
            try:
                return self._value(Node(node.kind, node.value, node.line), given, key)
            except OptionsError as error:
                if node.kind != "literal":
                    errors.append(error)
        literals = [node.value for node in alternatives if node.kind == "literal"]
        if len(literals) == len(alternatives):
            raise self._error(given.line, key, f"is none of {', '.join(map(repr, literals))}")
        raise errors[0]

    def _plain(self, expected: Node, given: Node, key: str) -> Any:
        if given.kind != "literal":
            raise self._error(given.line, key, "is not a plain value")
        mismatch = self._mismatch(expected, given.value)
        if mismatch:
            raise self._error(given.line, key, f"{given.value!r} {mismatch}")
        return given.value

    @staticmethod
    def _mismatch(expected: Node, value: Any) -> str:
        """How a literal differs from what the schema expects; "" where it fits."""
        if expected.kind == "literal":
            fits = type(value) is type(expected.value) and value == expected.value
            return "" if fits else f"is not {expected.value!r}"
        if expected.kind == "type" and expected.value == "number":
            return "" if is_numeric(value) else "is not a number"
        if expected.kind == "type" and expected.value == "int":
            return "" if is_numeric(value) and isinstance(value, int) else "is not a whole number"
        if expected.kind == "type":
            return "" if isinstance(value, TYPES[expected.value]) else f"is not of type {expected.value}"
        operator, bound = expected.value
        fits = (is_numeric(value) or operator == "!=") and COMPARISONS[operator](value, bound)
        return "" if fits else f"is not {operator} {bound!r}"
