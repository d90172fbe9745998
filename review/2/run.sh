#!/bin/sh
# Plays the case once; TROUBLE=0 plays it without the entry of another writer.
cd "$(dirname "$0")/../.." && exec python3 review/2/run.py
