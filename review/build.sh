#!/bin/sh
# The stand-ins are plain Python modules (review/common/standins.py, standard
# library only), so nothing has to be built; this checks that they compile.
cd "$(dirname "$0")" && python3 -m py_compile common/standins.py
