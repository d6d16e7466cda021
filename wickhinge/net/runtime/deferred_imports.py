"""Puts off modules that Twisted imports and a router never uses: a fifth of the CPU of a start.

`twisted.python.compat` imports `http.cookiejar`, and with it `urllib.request`, `http.client`, `email` and `ssl`;
`twisted.internet.defer` imports all of `asyncio` for three names, and others bring modules that only error paths
use. All are loaded as usual as soon as anything of them is used. Where a Python version has asyncio laid out
differently, it is imported as usual at once.
"""

from __future__ import annotations

import importlib.util
import sys
from types import ModuleType
from typing import Any

UNUSED = ("concurrent.futures", "http.cookiejar", "locale", "pickle", "pty", "textwrap")
ASYNCIO = "asyncio"


def install() -> None:
    """To be called before Twisted is imported; a module that is loaded already is left alone."""
    for name in UNUSED:
        if name not in sys.modules:
            defer_module(name)
    if ASYNCIO not in sys.modules:
        try:
            defer_asyncio()
        except ImportError:
            forget_asyncio()


def defer_module(name: str) -> None:
    """Registers a module that is executed at the first use of an attribute (importlib's LazyLoader)."""
    spec = importlib.util.find_spec(name)
    if spec is None or spec.loader is None:
        return
    loader = spec.loader = importlib.util.LazyLoader(spec.loader)
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    loader.exec_module(module)
    package, _, attribute = name.rpartition(".")
    if package:
        setattr(sys.modules[package], attribute, module)


def defer_asyncio() -> None:
    """Registers the package with the three names that Twisted takes from it; any other name executes it.

    Raises ImportError where this Python keeps those names elsewhere.
    """
    spec = importlib.util.find_spec(ASYNCIO)
    if spec is None:
        raise ImportError(ASYNCIO)
    package = importlib.util.module_from_spec(spec)
    sys.modules[ASYNCIO] = package
    from asyncio.coroutines import iscoroutine
    from asyncio.events import AbstractEventLoop
    from asyncio.futures import Future

    package.AbstractEventLoop = AbstractEventLoop  # type: ignore[attr-defined]
    package.Future = Future  # type: ignore[attr-defined]
    package.iscoroutine = iscoroutine  # type: ignore[attr-defined]
    package.__getattr__ = lambda name: execute(package, name)  # type: ignore[method-assign]


def execute(package: ModuleType, name: str) -> Any:
    """The rest of the package, at the first use of a name that is not there yet."""
    del package.__getattr__
    package.__spec__.loader.exec_module(package)  # type: ignore[union-attr]
    return getattr(package, name)


def forget_asyncio() -> None:
    """Takes a half registered package out again."""
    for name in [name for name in sys.modules if name.partition(".")[0] == ASYNCIO]:
        del sys.modules[name]
