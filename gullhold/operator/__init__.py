"""The operator file: settings of an installation, in a subset of CUE, checked against a built-in schema.

parser builds the syntax tree (nodes), evaluation computes its values, unification combines the file's values
with those of schema.cue, and records converts the result to typed records for the other packages.
"""
