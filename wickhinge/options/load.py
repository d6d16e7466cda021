"""A stated subset of the CUE language (https://cuelang.org/docs/reference/spec/): read, unified, checked.

Of the language: comments, `#Definitions`, fields and optional fields, nested and dotted-by-colon records,
the types string, bytes, bool, int, number, null's absence, bounds joined by `&`, alternatives with a marked
default, lists and open lists of a type. Not of it: imports, expressions, interpolation, comprehensions, let,
attributes; they are syntax errors here. Definitions are closed: a key they do not name is a fault.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from functools import cache
from importlib import resources
from operator import ge, gt, le, lt, ne
from typing import Any

import msgspec
from lark import Lark, Token, Transformer, UnexpectedInput

from wickhinge.fields import endpoint
from wickhinge.options import changelog
from wickhinge.options.records import Options

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
MOST = 1 << 20  # bytes of a file
MACHINE = re.compile(r"s-[0-9a-f]{8}\Z").match
ESCAPES = {"n": "\n", "t": "\t"}


class Fault(Exception):
    """A fault in a settings file; the text names file, line and the dotted key."""


@dataclass(slots=True)
class Node:
    """One expression: its kind, what it holds, and the line where it stands."""

    kind: str
    value: Any
    line: int
    default: bool = False


@dataclass(slots=True)
class Record:
    entries: dict[str, list[tuple[Node, bool]]] = field(default_factory=dict)  # expression, optional

    def add(self, name: str, node: Node, optional: bool) -> None:
        self.entries.setdefault(name, []).append((node, optional))


def text(token: str) -> str:
    out, escaped = [], False
    for char in token[1:-1]:
        if escaped:
            out.append(ESCAPES.get(char, char))
        elif char != "\\":
            out.append(char)
        escaped = char == "\\" and not escaped
    return "".join(out)


class Build(Transformer):
    """The tree of the grammar, as nodes."""

    def label(self, items: list[Token]) -> Token:
        (token,) = items
        return token.update(value=text(token)) if token.type == "STRING" else token

    def optional(self, items: list[Any]) -> bool:
        return True

    def plain(self, items: list[Any]) -> tuple[Token, Node, bool]:
        return items[0], items[-1], len(items) > 2

    def nested(self, items: list[Any]) -> tuple[Token, Node, bool]:
        return items[0], Node("record", self.collect([items[-1]]), items[0].line), len(items) > 2

    def collect(self, entries: list[tuple[Token, Node, bool]]) -> Record:
        record = Record()
        for name, node, optional in entries:
            record.add(str(name), node, optional)
        return record

    def start(self, items: list[Any]) -> Record:
        return self.collect(items)

    def record(self, items: list[Any]) -> Node:
        return Node("record", self.collect(items), items[0][0].line if items else 0)

    def default(self, items: list[Any]) -> str:
        return "*"

    def alternative(self, items: list[Any]) -> Node:
        node = items[-1]
        return Node(node.kind, node.value, node.line, True) if len(items) > 1 else node

    def either(self, items: list[Node]) -> Node:
        return items[0] if len(items) == 1 else Node("either", items, items[0].line)

    def both(self, items: list[Node]) -> Node:
        return items[0] if len(items) == 1 else Node("both", items, items[0].line)

    def literal(self, items: list[Token]) -> Node:
        (token,) = items
        if token.type == "STRING":
            value: Any = text(token)
        elif token.type == "NUMBER":
            plain = token.replace("_", "")
            value = int(plain) if plain.lstrip("+-").isdigit() else float(plain)
        else:
            value = token == "true"
        return Node("literal", value, token.line)

    def type(self, items: list[Token]) -> Node:
        return Node("type", str(items[0]), items[0].line)

    def bound(self, items: list[Any]) -> Node:
        return Node("bound", (str(items[0]), items[1].value), items[0].line)

    def items(self, items: list[Any]) -> Node:
        nodes = [item for item in items if item is not None]
        return Node("list", nodes, nodes[0].line if nodes else 0)

    def every(self, items: list[Node]) -> Node:
        return Node("every", items[0], items[0].line)

    def reference(self, items: list[Token]) -> Node:
        return Node("reference", str(items[0]), items[0].line)


@cache
def grammar() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=False)


def parse(source: str, name: str) -> Record:
    """The records of one file. Raises Fault with the line where it stops being the language."""
    try:
        return Build().transform(grammar().parse(source))
    except UnexpectedInput as problem:
        line = source.splitlines()[problem.line - 1].strip() if problem.line > 0 else "the end"
        raise Fault(f"{name}:{problem.line}: cannot be read at {line!r}") from None


COMPARED = {">=": ge, "<=": le, ">": gt, "<": lt, "!=": ne}
TYPES = {"string": str, "bool": bool, "bytes": str}


class Unifier:
    """One operators' file against the schema."""

    def __init__(self, schema: Record, name: str) -> None:
        self.schema, self.name = schema, name

    def fault(self, line: int, key: str, why: str) -> Fault:
        return Fault(f"{self.name}:{line}: {key}: {why}")

    def record(self, schema: Record, given: Record, key: str, line: int) -> dict[str, Any]:
        for name, entries in given.entries.items():
            if name not in schema.entries or name.startswith("#"):
                raise self.fault(entries[0][0].line, f"{key}{name}", "is no setting")
        result = {}
        for name, entries in schema.entries.items():
            if name.startswith("#"):
                continue
            (wanted, optional), told = entries[0], given.entries.get(name, [])
            if not told and optional:
                continue
            if not told:
                result[name] = self.default(wanted, f"{key}{name}", line)
                continue
            value = self.meet(wanted, told[0][0], f"{key}{name}")
            nodes = [node for node, _ in told]
            if len(nodes) > 1:  # told twice: records are joined, values must be the same
                if all(node.kind == "record" for node in nodes):
                    joined = Record()
                    for node in nodes:
                        for inner, more in node.value.entries.items():
                            joined.entries.setdefault(inner, []).extend(more)
                    value = self.meet(wanted, Node("record", joined, nodes[0].line), f"{key}{name}")
                elif any(self.meet(wanted, node, f"{key}{name}") != value for node in nodes[1:]):
                    raise self.fault(nodes[-1].line, f"{key}{name}", "is told twice, and differently")
            result[name] = value
        return result

    def resolve(self, node: Node) -> Node:
        while node.kind == "reference":
            if node.value not in self.schema.entries:
                raise self.fault(node.line, node.value, "is not defined")
            node = self.schema.entries[node.value][0][0]
        return node

    def default(self, wanted: Node, key: str, line: int) -> Any:
        wanted = self.resolve(wanted)
        if wanted.kind == "record":
            return self.record(wanted.value, Record(), f"{key}.", line)
        if wanted.kind in ("literal", "list"):
            return wanted.value
        for node in wanted.value if wanted.kind == "either" else ():
            if node.default:
                return self.default(Node(node.kind, node.value, node.line), key, line)
        raise self.fault(line, key, "is missing")

    def meet(self, wanted: Node, given: Node, key: str) -> Any:
        wanted = self.resolve(wanted)
        if given.kind not in ("literal", "record", "list"):
            raise self.fault(given.line, key, "is no value; types and bounds belong in the schema")
        if wanted.kind == "record":
            if given.kind != "record":
                raise self.fault(given.line, key, "is not a record")
            return self.record(wanted.value, given.value, f"{key}.", given.line)
        if wanted.kind == "every":
            if given.kind != "list":
                raise self.fault(given.line, key, "is not a list")
            return [self.meet(wanted.value, node, f"{key}[{place}]") for place, node in enumerate(given.value)]
        if wanted.kind == "either":
            faults = []
            for node in wanted.value:
                try:
                    return self.meet(Node(node.kind, node.value, node.line), given, key)
                except Fault as problem:
                    faults.append((node.kind != "literal", problem))
            words = [node.value for node in wanted.value if node.kind == "literal"]
            if len(words) == len(wanted.value):
                raise self.fault(given.line, key, f"is none of {', '.join(map(repr, words))}")
            raise next(problem for told, problem in faults if told)
        if wanted.kind == "both":
            value = None
            for node in wanted.value:
                value = self.meet(node, given, key)
            return value
        return self.plain(wanted, given, key)

    def plain(self, wanted: Node, given: Node, key: str) -> Any:
        value = given.value
        if given.kind != "literal":
            raise self.fault(given.line, key, "is not a plain value")
        numeric = isinstance(value, int | float) and not isinstance(value, bool)
        if wanted.kind == "literal":
            fits, why = type(value) is type(wanted.value) and value == wanted.value, f"is not {wanted.value!r}"
        elif wanted.kind == "type" and wanted.value in ("int", "number"):
            fits, why = (
                numeric and (wanted.value == "number" or isinstance(value, int)),
                ("is not a number" if wanted.value == "number" else "is not a whole number"),
            )
        elif wanted.kind == "type":
            fits, why = isinstance(value, TYPES[wanted.value]), f"is not of type {wanted.value}"
        else:
            operator, bound = wanted.value
            fits = (numeric or operator == "!=") and COMPARED[operator](value, bound)
            why = f"is not {operator} {bound!r}"
        if not fits:
            raise self.fault(given.line, key, f"{value!r} {why}")
        return value


def unify(package: str, schema: str, source: str, name: str) -> dict[str, Any]:
    """A file's text with a package's schema, defaults and all. Raises Fault, naming file, line and dotted key."""
    known = parse(resources.files(package).joinpath(schema).read_text(), schema)
    return Unifier(known, name).record(known, parse(source, name), "", 1)


def check(source: str, name: str) -> Options:
    """Options out of a file's text. Raises Fault, naming file, line and dotted key."""
    told = unify("wickhinge.options", "schema.cue", source, name)
    options = msgspec.convert(told, Options)
    if options.store.mode == "on" and not options.store.dir:
        raise Fault(f"{name}: store.dir: is missing while store.mode is on")
    found = options.discovery
    if found.mode == "on" and not (found.dir or found.static or found.siblings):
        raise Fault(f"{name}: discovery.dir: is missing while discovery.mode is on, as are static and siblings")
    if (found.listen or found.siblings) and not found.key_file:
        raise Fault(f"{name}: discovery.key_file: is missing; siblings are not talked to without a key")
    if found.dir and found.dir == options.store.dir:
        raise Fault(f"{name}: discovery.dir: is the store's own")
    for key, values in (
        ("listen", [found.listen] * bool(found.listen)),
        ("siblings", found.siblings),
        ("addresses", found.addresses),
        ("static", [one.dial for one in found.static]),
    ):
        for place, value in enumerate(values):
            if endpoint(value) is None:
                raise Fault(f"{name}: discovery.{key}[{place}]: {value!r} is not an address as 127.0.0.1:10080")
    for place, one in enumerate(found.static):
        if not MACHINE(one.id):
            raise Fault(f"{name}: discovery.static[{place}].id: {one.id!r} is not an id as s-00c41f7a")
    if options.shared.mode == "on" and options.peers.mode != "on":
        raise Fault(f"{name}: shared.mode: needs peers.mode: routers that do not know each other share nothing")
    if 0 < options.shared.names < len(options.peers.roster):
        raise Fault(f"{name}: shared.names: is less than the {len(options.peers.roster)} names of peers.roster")
    if 0 < options.shared.processes < (options.shared.names or len(options.peers.roster)):
        raise Fault(f"{name}: shared.processes: is less than the names")
    why = changelog.fault_of(options.changelog)
    if why:
        raise Fault(f"{name}: changelog.{why}")
    if options.store.size_mb < 4 * options.store.segment_mb:
        raise Fault(f"{name}: store.segment_mb: is over a quarter of store.size_mb")
    return options


def text_of(path: str) -> str:
    """A settings file's text. Raises Fault."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST + 1)
    except OSError as problem:
        raise Fault(f"{path}: cannot be read: {problem.strerror}") from None
    if len(data) > MOST:
        raise Fault(f"{path}: holds over {MOST} bytes")
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise Fault(f"{path}: is not UTF-8") from None


def load(path: str) -> Options:
    return check(text_of(path), path)
