"""The group of tables that a statement reads or writes: the number at the end of the schema's name."""

import re
from typing import NamedTuple

# Strings with doubled quotes, comments, and names, plain or quoted, joined by dots.
NAME = r'(?:[^\W\d]\w*|"(?:[^"]|"")*"|`[^`]*`|\[[^\]\'"]*\])'
TOKEN_PATTERN = re.compile(
    r"(?P<skipped>'(?:[^']|'')*(?:'|$)|--[^\n]*|/\*.*?(?:\*/|$))"
    rf"|(?P<name>{NAME}(?:\s*\.\s*{NAME})*)|(?P<sign>[^\s\w])",
    re.S,
)
NAME_PATTERN = re.compile(NAME, re.S)
GROUP_PATTERN = re.compile(r"_(\d+)\Z")
KEYWORDS_BEFORE_TABLE = frozenset(("from", "join", "into", "update", "table", "using", "only", "copy"))
KEYWORDS_AFTER_TABLES = frozenset(
    ("where", "group", "order", "having", "limit", "set", "on", "select", "values")
)
STAGING_SCHEMA = "staging"  # holds intermediate results; its tables have no group
QUOTES = '"`[]'


class TableGroup(NamedTuple):
    """The first table that counts: its group's number and its name; (0, "") where a statement has none."""

    group: int
    table: str


NO_GROUP = TableGroup(0, "")


def table_group(statement: str) -> TableGroup:
    """Find the group of the tables that a statement reads or writes.

    A name where a table must stand is certain. Another one with such a schema may be a column of an alias: it
    counts only where no certain one follows.
    """
    uncertain: TableGroup | None = None
    is_table_expected = False
    is_in_table_list = False
    for token in TOKEN_PATTERN.finditer(statement):
        if token.lastgroup == "skipped":
            continue
        text = token.group()
        keyword = text.lower()
        if token.lastgroup == "sign":
            is_next_in_list = text == "," and is_in_table_list
            is_subquery = text == "(" and is_table_expected
            is_table_expected = is_next_in_list or is_subquery
            continue
        if keyword in KEYWORDS_BEFORE_TABLE:
            is_table_expected = True
            is_in_table_list = True
            continue
        if keyword in KEYWORDS_AFTER_TABLES:
            is_in_table_list = False
        found = _group_of_name(text)
        if found and is_table_expected:
            return found
        uncertain = uncertain or found
        is_table_expected = False
    return uncertain or NO_GROUP


def _group_of_name(name: str) -> TableGroup | None:
    """Return the group of a dotted name whose schema states one."""
    parts = [part.strip(QUOTES) for part in NAME_PATTERN.findall(name)]
    if len(parts) < 2:
        return None
    schema = parts[-2]
    match = GROUP_PATTERN.search(schema)
    if match is None or schema.lower() == STAGING_SCHEMA:
        return None
    return TableGroup(int(match.group(1)), ".".join(parts))
