"""The group of tables that a statement reads or writes."""

import re

# Strings with doubled quotes, comments, and names, plain or quoted, joined by dots.
NAME = r'(?:[^\W\d]\w*|"(?:[^"]|"")*"|`[^`]*`|\[[^\]\'"]*\])'
TOKEN = re.compile(r"(?P<skip>'(?:[^']|'')*(?:'|$)|--[^\n]*|/\*.*?(?:\*/|$))"
                   rf"|(?P<name>{NAME}(?:\s*\.\s*{NAME})*)|(?P<other>[^\s\w])", re.S)
PART = re.compile(NAME, re.S)
GROUP = re.compile(r"_(\d+)\Z")
BEFORE_TABLE = frozenset(("from", "join", "into", "update", "table", "using", "only", "copy"))
BESIDE = "staging"   # a schema for work in between: never the one that counts


def group(text):
    """(group, table) of the first table that counts; (0, "") where there is none.

    A name right after a word that takes a table is sure; others may be a column of an alias.
    """
    sure, other, last, listing = None, None, "", False
    for token in TOKEN.finditer(text):
        if token.lastgroup == "skip":
            continue
        if token.lastgroup == "other":
            last = "," if token.group() == "," and listing else last if token.group() == "(" else ""
            continue
        parts = [part.strip('"`[]') for part in PART.findall(token.group())]
        takes = last in BEFORE_TABLE or last == ","
        listing = len(parts) == 1 and parts[0].lower() in BEFORE_TABLE or listing and takes or (
            listing and len(parts) == 1 and not takes and
            parts[0].lower() not in ("where", "group", "order", "set"))
        if len(parts) > 1 and parts[-2].lower() != BESIDE and (found := GROUP.search(parts[-2])):
            hit = int(found.group(1)), ".".join(parts)
            if takes:
                sure = sure or hit
            other = other or hit
        last = parts[0].lower() if len(parts) == 1 else ""
    return sure or other or (0, "")
