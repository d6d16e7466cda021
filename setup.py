"""Compiles the parts that run for each visit: as plain Python a visit costs half as much again."""

from glob import glob

from Cython.Build import cythonize
from setuptools import Extension, setup

COLD = {
    f"wickhinge/net/{name}.py"
    for name in ("__init__", "changes", "copies", "deferred_imports", "fellows", "members", "start")
}
HOT = ["wickhinge/decide.py", *sorted(set(glob("wickhinge/net/*.py")) - COLD)]

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
