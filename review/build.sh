#!/usr/bin/env bash
# The stand-ins are Python run by the project's own environment: after the build of the deploy file they only need to compile.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
