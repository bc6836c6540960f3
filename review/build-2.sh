#!/bin/sh
# Builds the stand-ins of the cases 6 and 7. They are Python programs that use
# only the standard library, so that building them is a syntax check.
cd "$(dirname "$0")" || exit 1
python3 - <<'END'
import ast
import pathlib

for folder in ('common-2', '6', '7'):
    for path in sorted(pathlib.Path(folder).glob('*.py')):
        ast.parse(path.read_text(), str(path))
END
