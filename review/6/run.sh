#!/bin/sh
# Plays the case once, and writes what was sent, answered and run to record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" RECORD="$PWD/record.txt" exec python3 case.py
