#!/bin/sh
# Builds the stand-ins of the cases: they are Python, so they are only compiled. No network is needed.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review
