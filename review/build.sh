#!/bin/sh
# Builds the stand-ins of the cases: all are Python without dependencies.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins 1 2 3
