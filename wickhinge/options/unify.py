"""Unification of a parsed settings file with a schema: types, bounds and defaults. Unknown keys are errors."""

from __future__ import annotations

from operator import ge, gt, le, lt, ne
from typing import Any

from wickhinge.options.errors import OptionsError
from wickhinge.options.syntax import Node, Record

COMPARISONS = {">=": ge, "<=": le, ">": gt, "<": lt, "!=": ne}
PYTHON_TYPES = {"string": str, "bool": bool, "bytes": str}


def is_numeric(value: Any) -> bool:
    """Return whether a literal is a number; booleans are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)


class Unifier:
    """Unification of one settings file with a schema.

    All methods raise OptionsError if the file does not fit the schema.
    """

    def __init__(self, schema: Record, name: str) -> None:
        """Take the schema, and the settings file's name for error messages."""
        self._schema, self._file_name = schema, name

    def unify(self, given: Record) -> dict[str, Any]:
        """Return the file's values, and the schema's defaults for all settings that the file omits."""
        return self._unify_record(self._schema, given, "", 1)

    def _error(self, line: int, key: str, reason: str) -> OptionsError:
        return OptionsError(self._file_name, reason, key=key, line=line)

    def _unify_record(self, schema: Record, given: Record, prefix: str, line: int) -> dict[str, Any]:
        """Return the values of a record.

        Args:
            schema: The record in the schema.
            given: The record in the file.
            prefix: The dotted path of the record, with a dot at its end; "" for the outermost.
            line: The line to name for a required field that is missing.
        """
        for name, entries in given.entries.items():
            if name not in schema.entries or name.startswith("#"):
                raise self._error(entries[0][0].line, f"{prefix}{name}", "is no setting")
        values = {}
        for name, entries in schema.entries.items():
            if name.startswith("#"):
                continue
            (expected, optional), nodes = entries[0], [node for node, _ in given.entries.get(name, [])]
            if nodes:
                values[name] = self._unify_field(expected, nodes, f"{prefix}{name}")
            elif not optional:
                values[name] = self._default_value(expected, f"{prefix}{name}", line)
        return values

    def _unify_field(self, expected: Node, nodes: list[Node], key: str) -> Any:
        """Return the value of a field given once or more often: records are merged, other values must be equal."""
        value = self._unify_value(expected, nodes[0], key)
        if len(nodes) == 1:
            return value
        if all(node.kind == "record" for node in nodes):
            merged = Record()
            for node in nodes:
                for name, entries in node.value.entries.items():
                    merged.entries.setdefault(name, []).extend(entries)
            return self._unify_value(expected, Node("record", merged, nodes[0].line), key)
        if any(self._unify_value(expected, node, key) != value for node in nodes[1:]):
            raise self._error(nodes[-1].line, key, "is given twice, with different values")
        return value

    def _resolve(self, node: Node) -> Node:
        """Follow references to definitions of the schema until another kind of node is reached."""
        while node.kind == "reference":
            if node.value not in self._schema.entries:
                raise self._error(node.line, node.value, "is not defined")
            node = self._schema.entries[node.value][0][0]
        return node

    def _default_value(self, expected: Node, key: str, line: int) -> Any:
        """Return the schema's default of the field `key`, for which the file gives no value."""
        expected = self._resolve(expected)
        if expected.kind == "record":
            return self._unify_record(expected.value, Record(), f"{key}.", line)
        if expected.kind in ("literal", "list"):
            return expected.value
        for node in expected.value if expected.kind == "either" else ():
            if node.is_default:
                return self._default_value(Node(node.kind, node.value, node.line), key, line)
        raise self._error(line, key, "is missing")

    def _unify_value(self, expected: Node, given: Node, key: str) -> Any:
        """Return the value of the node `given` in the file if it fits the node `expected` in the schema."""
        expected = self._resolve(expected)
        if given.kind not in ("literal", "record", "list"):
            raise self._error(given.line, key, "is not a value; types and bounds belong in the schema")
        if expected.kind == "record":
            if given.kind != "record":
                raise self._error(given.line, key, "is not a record")
            return self._unify_record(expected.value, given.value, f"{key}.", given.line)
        if expected.kind == "every":
            if given.kind != "list":
                raise self._error(given.line, key, "is not a list")
            return [
                self._unify_value(expected.value, node, f"{key}[{index}]") for index, node in enumerate(given.value)
            ]
        if expected.kind == "either":
            return self._unify_alternatives(expected.value, given, key)
        if expected.kind == "both":
            value = None
            for node in expected.value:
                value = self._unify_value(node, given, key)
            return value
        return self._unify_literal(expected, given, key)

    def _unify_alternatives(self, alternatives: list[Node], given: Node, key: str) -> Any:
        """Return the value by the first alternative that it fits.

        If it fits none, the error lists the literals if all alternatives are literals. Otherwise it is the error of
        the first alternative that is not a literal.
        """
        errors = []
        for node in alternatives:
            try:
                return self._unify_value(Node(node.kind, node.value, node.line), given, key)
            except OptionsError as error:
                if node.kind != "literal":
                    errors.append(error)
        literals = [node.value for node in alternatives if node.kind == "literal"]
        if len(literals) == len(alternatives):
            raise self._error(given.line, key, f"is none of {', '.join(map(repr, literals))}")
        raise errors[0]

    def _unify_literal(self, expected: Node, given: Node, key: str) -> Any:
        """Return the value of a literal if it fits a literal, type or bound of the schema."""
        if given.kind != "literal":
            raise self._error(given.line, key, "is not a string, number or boolean")
        mismatch = self._mismatch_reason(expected, given.value)
        if mismatch:
            raise self._error(given.line, key, f"{given.value!r} {mismatch}")
        return given.value

    @staticmethod
    def _mismatch_reason(expected: Node, value: Any) -> str:
        """Return how a literal differs from what the schema expects, or "" if it fits."""
        if expected.kind == "literal":
            fits = type(value) is type(expected.value) and value == expected.value
            return "" if fits else f"is not {expected.value!r}"
        if expected.kind == "type" and expected.value == "number":
            return "" if is_numeric(value) else "is not a number"
        if expected.kind == "type" and expected.value == "int":
            return "" if is_numeric(value) and isinstance(value, int) else "is not a whole number"
        if expected.kind == "type":
            return "" if isinstance(value, PYTHON_TYPES[expected.value]) else f"is not of type {expected.value}"
        operator, bound = expected.value
        fits = (is_numeric(value) or operator == "!=") and COMPARISONS[operator](value, bound)
        return "" if fits else f"is not {operator} {bound!r}"
