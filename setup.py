"""Compiles the parts that run for each visit: as plain Python a visit costs half as much again."""

from glob import glob

from Cython.Build import cythonize
from setuptools import Extension, setup

COLD = {
    "wickhinge/net/control/changelog_client.py",
    "wickhinge/net/control/config.py",
    "wickhinge/net/control/endpoint_updates.py",
    "wickhinge/net/control/graceful_shutdown.py",
    "wickhinge/net/control/membership.py",
    "wickhinge/net/control/peer_transport.py",
    "wickhinge/net/control/process_report.py",
    "wickhinge/net/control/readiness.py",
    "wickhinge/net/control/start.py",
    "wickhinge/net/runtime/deferred_imports.py",
    "wickhinge/net/upstream/local_copies.py",
}
PACKAGES = ("wickhinge/common", "wickhinge/net", "wickhinge/routing")
COMPILED = {
    path
    for package in PACKAGES
    for path in glob(f"{package}/**/*.py", recursive=True)
    if not path.endswith("/__init__.py")
}
HOT = sorted(COMPILED - COLD)

setup(
    ext_modules=cythonize(
        [Extension(path[:-3].replace("/", "."), [path], extra_compile_args=["-O2", "-g0"]) for path in HOT],
        language_level=3,
        nthreads=8,
        quiet=True,
        # Annotations stay what they are in Python: no C types, no checks that only the compiled code has.
        compiler_directives={"annotation_typing": False, "embedsignature": False},
    ),
)
