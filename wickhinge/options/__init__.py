"""Our own settings: a file of CUE-like typed records, unified with schema.cue and handed on as records.

Entered by `load`, called by the command line and by a router whose environment names such a file; never by
a router that has none. Opens that one file and the schema beside this one, and nothing else.
"""

from wickhinge.options.load import Fault, load, parse
from wickhinge.options.records import Discovery, Journal, Machine, Options, Store

__all__ = ["Discovery", "Fault", "Journal", "Machine", "Options", "Store", "load", "parse"]
