#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." && .venv/bin/python review/3/case.py
status=$?
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
