"""The operator file: typed records, written in a part of CUE and unified with the schema that ships here.

parser reads the text into nodes, evaluation turns nodes into values, unification joins the file's values with
the schema's, and records holds what the program reads.
"""
