#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
# A verdict counts only if the record of this run holds it: Python ends with 1 after a fault of the script, too.
cd "$(dirname "$0")/../.." && rm -f review/2/record.txt || exit 2
.venv/bin/python review/2/case.py
status=$?
grep -q "^ *[0-9.]* verdict $status " review/2/record.txt 2>/dev/null || exit 2
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
