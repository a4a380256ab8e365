#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
rm -f review/9/record.txt
.venv/bin/python review/9/case.py
case "$(tail -n 1 review/9/record.txt)" in # the verdict of this run alone
*" exit 1") exit 1 ;;
*" exit 0") exit 0 ;;
*) exit 2 ;;
esac
