#!/bin/sh
# The stand-ins need nothing but the standard library; this checks that they
# compile and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps/balsamshore_platform
python3 - *.py */*.py <<'END'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as file:
        ast.parse(file.read(), path)
END
