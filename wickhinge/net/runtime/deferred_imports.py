"""Deferred imports of modules that Twisted imports and a router never uses, which take a fifth of the CPU of a start.

`twisted.python.compat` imports `http.cookiejar`, and with it `urllib.request`, `http.client`, `email` and `ssl`.
`twisted.internet.defer` imports all of `asyncio` for three names. `html` is imported for one function, and with it a
table of all named characters. `ctypes` is imported to find out that it has no `WinError`, which only Windows has. Other
modules are only needed in case of errors.

A deferred module is loaded as soon as any of its other attributes is used. If a Python version has a different layout
of asyncio, the package is imported at once as usual.
"""

from __future__ import annotations

import importlib.util
import sys
from functools import partial
from types import ModuleType
from typing import Any

DEFERRED_MODULES = ("concurrent.futures", "http.cookiejar", "locale", "pickle", "pty", "textwrap")
ASYNCIO = "asyncio"
HTML, HTML_FUNCTIONS = "html", ("escape", "unescape")
CTYPES, NAME_ON_WINDOWS = "ctypes", "WinError"


def install() -> None:
    """Defer the modules that are not loaded yet; must be called before Twisted is imported."""
    for name in DEFERRED_MODULES:
        if name not in sys.modules:
            defer_module(name)
    if HTML not in sys.modules:
        defer_functions(HTML, HTML_FUNCTIONS)
    if CTYPES not in sys.modules and sys.platform != "win32":
        defer_package_without(CTYPES, NAME_ON_WINDOWS)
    if ASYNCIO not in sys.modules:
        try:
            defer_asyncio()
        except ImportError:
            forget_asyncio()


def defer_module(name: str) -> None:
    """Register a module that is executed when one of its attributes is first used (importlib's LazyLoader)."""
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


def defer_functions(name: str, functions: tuple[str, ...]) -> None:
    """Register a package with functions that execute it when they are called, or when another name of it is used."""
    spec = importlib.util.find_spec(name)
    if spec is None:
        return
    package = importlib.util.module_from_spec(spec)
    sys.modules[name] = package
    package.__getattr__ = lambda attribute: execute_package(package, attribute)  # type: ignore[method-assign]
    for function in functions:
        setattr(package, function, partial(call_deferred, package, function))


def defer_package_without(name: str, absent: str) -> None:
    """Register a package that is executed when one of its names is first used, except for one that it does not have."""
    spec = importlib.util.find_spec(name)
    if spec is None:
        return
    package = importlib.util.module_from_spec(spec)
    sys.modules[name] = package

    def find_attribute(attribute: str) -> Any:
        if attribute == absent:
            raise AttributeError(f"module {name!r} has no attribute {attribute!r}")
        return execute_package(package, attribute)

    package.__getattr__ = find_attribute  # type: ignore[method-assign]


def call_deferred(package: ModuleType, function: str, *arguments: Any, **options: Any) -> Any:
    """Execute a deferred package unless that was done, and call its function."""
    if "__getattr__" in package.__dict__:
        execute_package(package, function)
    return getattr(package, function)(*arguments, **options)


def defer_asyncio() -> None:
    """Register asyncio with the three names that Twisted imports; the use of any other name executes the package.

    Raises:
        ImportError: This Python version has those names in other modules.
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
    package.__getattr__ = lambda name: execute_package(package, name)  # type: ignore[method-assign]


def execute_package(package: ModuleType, name: str) -> Any:
    """Execute a deferred package and return its attribute; called at the first use of an attribute it lacks."""
    del package.__getattr__
    package.__spec__.loader.exec_module(package)  # type: ignore[union-attr]
    return getattr(package, name)


def forget_asyncio() -> None:
    """Remove a partly registered asyncio, so that it is imported as usual."""
    for name in [name for name in sys.modules if name.partition(".")[0] == ASYNCIO]:
        del sys.modules[name]
