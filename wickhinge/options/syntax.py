"""Parser for a subset of the CUE language (https://cuelang.org/docs/reference/spec/) that returns a tree of nodes.

The subset has comments, `#Definitions`, fields and optional fields, nested records in braces or as `a: b: value`, the
types string, bytes, bool, int and number, bounds joined by `&`, alternatives with a marked default, lists, and open
lists of a type. It has no null, imports, expressions, interpolation, comprehensions, let or attributes; these are
syntax errors.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cache
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput

from wickhinge.options.errors import UnreadableOptionsError

GRAMMAR = r"""
start: (entry ","?)*
?entry: label optional? ":" entry -> nested
      | label optional? ":" expression -> plain
optional: "?"
label: NAME | DEFINITION | STRING
?expression: alternative ("|" alternative)* -> either
alternative: default? meet
default: "*"
?meet: term ("&" term)* -> both
?term: literal | type | bound | record | list | reference | "(" expression ")"
literal: NUMBER | STRING | TRUE | FALSE
type: TYPE
bound: OPERATOR literal
record: "{" (entry ","?)* "}"
?list: "[" [expression ("," expression)*] ","? "]" -> items
    | "[" "..." expression "]" -> every
reference: DEFINITION
TRUE: "true"
FALSE: "false"
TYPE.2: /(string|bytes|bool|int|number)(?![A-Za-z0-9_])/
OPERATOR: ">=" | "<=" | "!=" | ">" | "<"
DEFINITION: /#[A-Za-z_][A-Za-z0-9_]*/
NAME: /[A-Za-z_][A-Za-z0-9_]*/
STRING: /"([^"\\\n]|\\["\\nt])*"/
NUMBER: /[-+]?[0-9][0-9_]*(\.[0-9]+)?([eE][-+]?[0-9]+)?/
COMMENT: /\/\/[^\n]*/
%ignore COMMENT
%ignore /\s+/
"""
ESCAPES = {"n": "\n", "t": "\t"}
OPTIONAL_FIELD_ITEMS = 3  # Parse tree items of an optional field: label, "?" and value.


@dataclass(slots=True)
class Node:
    """One expression of the source.

    Attributes:
        kind: literal, type, bound, record, list, every (open list of a type), either (alternatives), both (joined by
            `&`), or reference (to a definition).
        value: The content; its type depends on `kind`.
        line: The line number of the expression, or 0 for an empty record or list.
        is_default: Whether the expression is an alternative that `*` marks as the default.
    """

    kind: str
    value: Any
    line: int
    is_default: bool = False


@dataclass(slots=True)
class Record:
    """A record's entries by name. Each entry lists its expressions, each with whether the field is optional."""

    entries: dict[str, list[tuple[Node, bool]]] = field(default_factory=dict)

    def add(self, name: str, node: Node, *, optional: bool) -> None:
        """Add an expression under a name, which may already have others."""
        self.entries.setdefault(name, []).append((node, optional))


Entry = tuple[Token, Node, bool]  # A field's label, its expression, and whether it is optional.


def unquote(literal: str) -> str:
    """Return the text of a string literal without its quotes and with its escapes resolved."""
    characters, is_escaped = [], False
    for character in literal[1:-1]:
        if is_escaped:
            characters.append(ESCAPES.get(character, character))
        elif character != "\\":
            characters.append(character)
        is_escaped = character == "\\" and not is_escaped
    return "".join(characters)


def make_record(entries: list[Entry]) -> Record:
    """Collect entries into a record."""
    record = Record()
    for name, node, optional in entries:
        record.add(str(name), node, optional=optional)
    return record


class TreeBuilder(Transformer[Token, Any]):
    """Transformer of Lark's parse tree into nodes.

    Lark calls, for each grammar rule or alias, the method of the same name.
    """

    def label(self, items: list[Token]) -> Token:
        """Return a field's name, without quotes if it was written as a string."""
        (token,) = items
        return token.update(value=unquote(token)) if token.type == "STRING" else token

    def optional(self, _items: list[Any]) -> bool:
        """Return True for the `?` that marks a field as optional."""
        return True

    def plain(self, items: list[Any]) -> Entry:
        """Return the entry of a field written as `label: expression`."""
        return items[0], items[-1], len(items) >= OPTIONAL_FIELD_ITEMS

    def nested(self, items: list[Any]) -> Entry:
        """Return the entry of `label: label: expression`, whose value is a record with one entry."""
        record = Node("record", make_record([items[-1]]), items[0].line or 0)
        return items[0], record, len(items) >= OPTIONAL_FIELD_ITEMS

    def start(self, items: list[Entry]) -> Record:
        """Return the record of the whole file."""
        return make_record(items)

    def record(self, items: list[Entry]) -> Node:
        """Return the node of a record written as `{...}`."""
        return Node("record", make_record(items), (items[0][0].line or 0) if items else 0)

    def default(self, _items: list[Any]) -> str:
        """Return the `*` that marks an alternative as the default."""
        return "*"

    def alternative(self, items: list[Any]) -> Node:
        """Return the node of one alternative, marked if `*` stands before it."""
        node: Node = items[-1]
        return Node(node.kind, node.value, node.line, True) if len(items) > 1 else node

    def either(self, items: list[Node]) -> Node:
        """Return the node of alternatives written as `a | b`, or the node itself if there is only one."""
        return items[0] if len(items) == 1 else Node("either", items, items[0].line)

    def both(self, items: list[Node]) -> Node:
        """Return the node of constraints written as `a & b`, or the node itself if there is only one."""
        return items[0] if len(items) == 1 else Node("both", items, items[0].line)

    def literal(self, items: list[Token]) -> Node:
        """Return the node of a string, number or boolean."""
        (token,) = items
        if token.type == "STRING":
            value: Any = unquote(token)
        elif token.type == "NUMBER":
            digits = token.replace("_", "")
            value = int(digits) if digits.lstrip("+-").isdigit() else float(digits)
        else:
            value = token == "true"
        return Node("literal", value, token.line or 0)

    def type(self, items: list[Token]) -> Node:
        """Return the node of a type's name."""
        return Node("type", str(items[0]), items[0].line or 0)

    def bound(self, items: list[Any]) -> Node:
        """Return the node of a bound: an operator and the literal that values are compared with."""
        return Node("bound", (str(items[0]), items[1].value), items[0].line)

    def items(self, items: list[Any]) -> Node:
        """Return the node of a list written as `[a, b]`."""
        nodes = [item for item in items if item is not None]
        return Node("list", nodes, nodes[0].line if nodes else 0)

    def every(self, items: list[Node]) -> Node:
        """Return the node of an open list written as `[...type]`, whose items all have that type."""
        return Node("every", items[0], items[0].line)

    def reference(self, items: list[Token]) -> Node:
        """Return the node of a reference to a `#Definition`."""
        return Node("reference", str(items[0]), items[0].line or 0)


@cache
def make_parser() -> Lark:
    """Return the parser of GRAMMAR, which is built at the first call."""
    return Lark(GRAMMAR, parser="lalr", propagate_positions=False)


def parse(source: str, name: str) -> Record:
    """Parse the text of the file `name` into its outermost record.

    Raises:
        UnreadableOptionsError: The text has a syntax error, as if it is cut off; the message names the line.
    """
    try:
        record: Record = TreeBuilder().transform(make_parser().parse(source))
    except UnexpectedInput as error:
        line = source.splitlines()[error.line - 1].strip() if error.line > 0 else "the end"
        raise UnreadableOptionsError(name, f"cannot be read at {line!r}", line=error.line) from None
    return record
