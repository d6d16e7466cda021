"""What a start of the router imports, in a process of its own that goes as far as its `start` event."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.imports import modules_of_a_start

ROOT = Path(__file__).parents[2]
OURS = {
    "wickhinge",
    "wickhinge.clocks",
    "wickhinge.fields",
    "wickhinge.interface",
    "wickhinge.net",
    "wickhinge.settings",
    *(
        f"wickhinge.{package}{name}"
        for package, names in {
            "common": ("", ".connector", ".failed_calls", ".config_reload", ".process_signals", ".start_attempts"),
            "net.control": (
                "",
                ".config",
                ".endpoint_updates",
                ".endpoint_watch",
                ".graceful_shutdown",
                ".process_report",
                ".readiness",
                ".router_process",
                ".start",
                ".start_steps",
            ),
            "net.downstream": (
                "",
                ".client_connection",
                ".client_connections",
                ".descriptors",
                ".listener",
                ".msgpack",
                ".request_table",
            ),
            "net.runtime": (
                "",
                ".arrivals",
                ".buffers",
                ".deadlines",
                ".deferred_imports",
                ".event_loop_stalls",
                ".log",
                ".loop",
                ".slots",
                ".transport",
            ),
            "routing": (
                "",
                ".attempt",
                ".endpoints",
                ".hashing",
                ".object_counts",
                ".origin_pacing",
                ".purges",
                ".random_source",
                ".routed_request",
                ".router",
                ".server",
                ".slow_start",
                ".work_evidence",
                ".zone_link",
            ),
            "net.upstream": ("", ".attempt_results", ".attempts", ".connection_pools", ".request_log", ".resp"),
        }.items()
        for name in names
    ),
}
PACKAGES = {
    "_distutils_hack",  # by the virtual environment itself, with setuptools
    "attr",
    "attrs",
    "constantly",
    "incremental",
    "orjson",
    "twisted",
    "typing_extensions",
    "zope",
}
NEVER_USED = {"asyncio.base_events", "email", "http.client", "logging.handlers", "ssl", "urllib.request"}


@pytest.fixture(scope="module")
def loaded():
    return modules_of_a_start()


def test_of_ours_a_start_imports_just_what_it_runs(loaded):
    assert {name for name in loaded if name.partition(".")[0] == "wickhinge"} == OURS


def test_a_start_imports_no_other_library(loaded):
    installed = {path.name.partition(".")[0] for path in Path(sys.prefix).glob("lib/python*/site-packages/*")}
    assert {name.partition(".")[0] for name in loaded} & installed <= PACKAGES


def test_a_start_executes_nothing_that_a_router_never_uses(loaded):
    assert loaded & NEVER_USED == set()


def run(text):
    text = f"from wickhinge.net.runtime import deferred_imports\ndeferred_imports.install()\n{text}"
    done = subprocess.run([sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    return done.stdout


def test_what_was_put_off_is_whole_when_it_is_used():
    assert (
        run(
            "import asyncio, http.cookiejar, twisted.internet.defer\n"
            "async def answer(): return 42\n"
            "print(asyncio.run(answer()), http.cookiejar.CookieJar().__class__.__name__, asyncio.Queue.__module__)"
        )
        == "42 CookieJar asyncio.queues\n"
    )


def test_a_name_that_is_not_there_is_an_error_as_ever():
    assert (
        run(
            "import asyncio\n"
            "for _ in range(2):\n"
            "    try: asyncio.no_such_name\n"
            "    except AttributeError as problem: print(problem)"
        )
        == "module 'asyncio' has no attribute 'no_such_name'\n" * 2
    )


def test_where_python_keeps_the_names_elsewhere_the_whole_package_is_imported():
    assert (
        run(
            "import sys\n"
            "for name in [name for name in sys.modules if name.startswith('asyncio')]: del sys.modules[name]\n"
            "sys.modules['asyncio.coroutines'] = None\n"
            "deferred_imports.install()\n"
            "print('asyncio' in sys.modules)"
        )
        == "False\n"
    )
