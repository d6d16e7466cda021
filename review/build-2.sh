#!/bin/sh
# Builds the stand-ins of the cases from 6 on, after the build of deploy/balancer.toml; needs no network.
# They are Python files of this folder. The project's programs that a case starts come from the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
for folder in review/[6-9] review/10; do
    test ! -d "$folder" || .venv/bin/python -m compileall -q "$folder" || exit 2
done
exec .venv/bin/python -m compileall -q review/stand_ins_2.py
