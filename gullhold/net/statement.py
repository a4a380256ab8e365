"""The group of tables that a statement reads or writes."""

import re

# Strings with doubled quotes, comments, and names, plain or quoted, joined by dots.
NAME = r'(?:[^\W\d]\w*|"(?:[^"]|"")*"|`[^`]*`|\[[^\]\'"]*\])'
TOKEN = re.compile(
    r"(?P<skip>'(?:[^']|'')*(?:'|$)|--[^\n]*|/\*.*?(?:\*/|$))"
    rf"|(?P<name>{NAME}(?:\s*\.\s*{NAME})*)|(?P<other>[^\s\w])",
    re.S,
)
PART = re.compile(NAME, re.S)
GROUP = re.compile(r"_(\d+)\Z")
BEFORE_TABLE = frozenset(("from", "join", "into", "update", "table", "using", "only", "copy"))
AFTER_TABLES = frozenset(("where", "group", "order", "having", "limit", "set", "on", "select", "values"))
BESIDE = "staging"  # a schema for work in between: never the one that counts


def group(text):
    """(group, table) of the first table that counts; (0, "") where there is none.

    A name where a table must stand is sure; another one with such a schema may be a column of an alias.
    """
    other, expected, listing = None, False, False
    for token in TOKEN.finditer(text):
        if token.lastgroup == "skip":
            continue
        word = token.group().lower()
        if token.lastgroup == "other":
            expected = word == "," and listing or word == "(" and expected
            continue
        if word in BEFORE_TABLE:
            expected = listing = True
            continue
        listing = listing and word not in AFTER_TABLES
        parts = [part.strip('"`[]') for part in PART.findall(token.group())]
        if len(parts) > 1 and parts[-2].lower() != BESIDE and (found := GROUP.search(parts[-2])):
            hit = int(found.group(1)), ".".join(parts)
            if expected:
                return hit
            other = other or hit
        expected = False
    return other or (0, "")
