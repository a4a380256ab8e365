"""Measurements that take longer than tests: `python -m benchmarks.NAME [--quick]`.

Each prints its figures as it measures them, then one JSON object with all of them as its last line, and exits
with status 1 if a figure misses its bound.
"""
