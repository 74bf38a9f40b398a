#!/bin/sh
# Builds the stand-ins of the scripts: they need nothing but Python's standard library.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q parts
