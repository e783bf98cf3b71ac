#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
timeout 110 python3 case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
