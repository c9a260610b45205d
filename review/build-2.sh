#!/bin/sh
# Compiles the stand-ins of the cases 6 to 10, Python programs that need only its standard library, as a check.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX=target/review-2 exec python3 -m compileall -q review/common-2
