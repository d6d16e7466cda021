"""Wickhinge's own settings file: text in a subset of CUE, unified with schema.cue and returned as typed records.

The entry point is `load`. The command line calls it, and so does a router whose environment variable WICKHINGE_OPTIONS
names a settings file; a router without that variable never imports this package. `load` opens only the settings file
and schema.cue, which lies in this package.

`syntax` parses the text, `unify` applies the schema's types, bounds and defaults, `validate` and `changelog` check
the rules that span several settings, and `load` runs these steps in order.
"""

from wickhinge.options.errors import OptionsError, UnreadableOptionsError
from wickhinge.options.load import load
from wickhinge.options.records import Discovery, Journal, Options, StaticServer, Store
from wickhinge.options.syntax import parse

__all__ = [
    "Discovery",
    "Journal",
    "Options",
    "OptionsError",
    "StaticServer",
    "Store",
    "UnreadableOptionsError",
    "load",
    "parse",
]
