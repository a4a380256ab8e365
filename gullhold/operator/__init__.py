"""The operator file: typed records, written in a part of CUE and unified with the schema that ships here.

parser turns the text into nodes, evaluation turns nodes into values, unification joins the file's values with
the schema's, and records has the typed records for the other packages.
"""
