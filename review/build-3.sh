#!/bin/sh
# Builds the stand-ins of the third review: they are scripts for Python's standard library, which only
# have to compile.
set -e
cd "$(dirname "$0")"
exec python3 -c 'import ast, sys; [ast.parse(open(p).read(), p) for p in sys.argv[1:]]' standins-3/mesh.py 1?/case.py
