"""Finds the table group of a statement: the number that ends its schema name, as 17 in sales_17.orders."""

import re
from typing import NamedTuple

# One part of a name: plain, or in one of the quotes of common SQL dialects.
NAME = r'(?:[^\W\d]\w*|"(?:[^"]|"")*"|`[^`]*`|\[[^\]\'"]*\])'
# Strings and comments, which are skipped; names of parts joined by dots; any other character.
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
STAGING_SCHEMA = "staging"  # schema of intermediate results; its tables have no group
QUOTES = '"`[]'


class TableGroup(NamedTuple):
    """The number of a group, and the full name of the table that it was taken from."""

    group: int
    table: str


NO_GROUP = TableGroup(0, "")  # result for a statement without a table that has a group


def table_group(statement: str) -> TableGroup:
    """Find the group of the first table that a statement reads or writes; the statement is only tokenized.

    A name at a position where SQL expects a table is certain. A name elsewhere may be a column of an alias
    that looks like such a schema: it is used only if no certain one is found.
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
    """Return the group of a dotted name, or None if its schema name does not end in one."""
    parts = [part.strip(QUOTES) for part in NAME_PATTERN.findall(name)]
    if len(parts) < 2:
        return None
    schema = parts[-2]
    match = GROUP_PATTERN.search(schema)
    if match is None or schema.lower() == STAGING_SCHEMA:
        return None
    return TableGroup(int(match.group(1)), ".".join(parts))
