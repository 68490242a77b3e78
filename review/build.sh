#!/bin/sh
# Builds the stand-ins of the cases: they are Python and only have to compile.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
for file in world.py */case.py; do
    [ -f "$file" ] || continue
    python3 -c "import py_compile, sys; py_compile.compile(sys.argv[1], cfile='../target/review.pyc', doraise=True)" "$file"
done
