"""Compiles the parts that run for each request: as plain Python a request costs half as much again.

What runs seldom or is a few lines stays Python: each compiled module costs some 50 KB of memory in each router.
"""

from glob import glob

from Cython.Build import cythonize
from Cython.Compiler import Options
from setuptools import Extension, setup

COLD = {
    "wickhinge/common/connector.py",
    "wickhinge/common/config_reload.py",
    "wickhinge/common/process_signals.py",
    "wickhinge/common/retry_delays.py",
    "wickhinge/common/start_attempts.py",
    "wickhinge/net/control/changelog_client.py",
    "wickhinge/net/control/config.py",
    "wickhinge/net/control/discovery_addresses.py",
    "wickhinge/net/control/discovery_frames.py",
    "wickhinge/net/control/endpoint_updates.py",
    "wickhinge/net/control/graceful_shutdown.py",
    "wickhinge/net/control/membership.py",
    "wickhinge/net/control/options_reload.py",
    "wickhinge/net/control/peer_transport.py",
    "wickhinge/net/control/process_report.py",
    "wickhinge/net/control/readiness.py",
    "wickhinge/net/control/reloads.py",
    "wickhinge/net/control/start.py",
    "wickhinge/net/control/start_steps.py",
    "wickhinge/net/control/waiting_keys.py",
    "wickhinge/net/runtime/deferred_imports.py",
    "wickhinge/net/upstream/local_copies.py",
    "wickhinge/routing/origin_pacing.py",
    "wickhinge/routing/random_source.py",
    "wickhinge/routing/zone_link.py",
}
PACKAGES = ("wickhinge/common", "wickhinge/net", "wickhinge/routing")
COMPILED = {
    path
    for package in PACKAGES
    for path in glob(f"{package}/**/*.py", recursive=True)
    if not path.endswith("/__init__.py")
}
HOT = sorted(COMPILED - COLD)

Options.docstrings = False  # they are for readers of the source, and would take memory in each router
# Code of small size, since each router holds all of it in memory; no symbols but those that Python needs.
COMPILER_OPTIONS = ["-Os", "-g0", "-fvisibility=hidden", "-DCYTHON_CLINE_IN_TRACEBACK=0"]
LINKER_OPTIONS = ["-Wl,-s"]

setup(
    ext_modules=cythonize(
        [
            Extension(
                path[:-3].replace("/", "."),
                [path],
                extra_compile_args=COMPILER_OPTIONS,
                extra_link_args=LINKER_OPTIONS,
            )
            for path in HOT
        ],
        language_level=3,
        nthreads=8,
        quiet=True,
        # Annotations stay what they are in Python: no C types, no checks that only the compiled code has.
        compiler_directives={"annotation_typing": False, "embedsignature": False},
    ),
)
