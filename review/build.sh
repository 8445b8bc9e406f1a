#!/bin/sh
# Builds the stand-ins of review/: they are Python modules without dependencies, so this only compiles them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
