"""Measurements that take longer than tests: `python -m benchmarks.NAME [--quick]`.

Each prints its figures as it takes them, then one JSON object as its last line, and exits with status 1
where a bound is missed.
"""
