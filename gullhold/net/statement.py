"""Finds the table group of a statement: the number that ends its schema name, as 17 in sales_17.orders."""

import re
from collections.abc import Iterator
from typing import NamedTuple

PLAIN_NAME = r"[^\W\d]\w*+"
QUOTED_NAME = r'"[^"]*+"(?:"[^"]*+")*+|`[^`]*+`'  # the quotes of common SQL dialects but for brackets
BRACKETED_NAME = r"\[[^\]'\"]*+\]"


def _names(part: str) -> str:
    """Return the pattern of a name: parts joined by dots."""
    return rf"(?:{part})(?:\s*+\.\s*+(?:{part}))*+"


def _token_pattern(part: str) -> re.Pattern[str]:
    """Compile the pattern of a token; part: the pattern of one part of a name.

    Its quantifiers are possessive, as backtracking could take time quadratic in the length of a statement.
    """
    return re.compile(
        r"(?P<skipped>'[^']*+(?:''[^']*+)*+(?:'|\Z)|--[^\n]*+|/\*.*?(?:\*/|\Z))"  # strings and comments
        rf"|(?P<name>{_names(part)})"
        r"|(?P<opening_bracket>\[)"  # of no bracketed name
        r"|(?P<signs>[^\s\w,(\[\"'`/-]++|[^\s\w])",  # a run of those without a meaning, or any single one
        re.S,
    )


TOKEN_PATTERN = _token_pattern(f"{PLAIN_NAME}|{QUOTED_NAME}|{BRACKETED_NAME}")
BRACKETLESS_TOKEN_PATTERN = _token_pattern(f"{PLAIN_NAME}|{QUOTED_NAME}")
NAME_PATTERN = re.compile(f"{PLAIN_NAME}|{QUOTED_NAME}|{BRACKETED_NAME}")
UNCLOSED_BRACKET_PATTERN = re.compile(r"[^'\"]*+")  # what a bracketed name could have covered
GROUP_PATTERN = re.compile(r"_(\d++)\Z")
MAX_GROUP_DIGITS = 18  # digits of a group, which then fits 64 bits
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

    The time is linear in the length of the statement, whatever it holds. A group of more than
    MAX_GROUP_DIGITS digits counts as 0, but its table is returned.
    """
    uncertain: TableGroup | None = None
    is_table_expected = False
    is_in_table_list = False
    for token in _tokens(statement):
        kind = token.lastgroup
        if kind == "skipped":
            continue
        text = token.group()
        if kind != "name":
            is_next_in_list = text == "," and is_in_table_list
            is_subquery = text == "(" and is_table_expected
            is_table_expected = is_next_in_list or is_subquery
            continue
        keyword = text.lower()
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


def _tokens(statement: str) -> Iterator[re.Match[str]]:
    """Yield the tokens of a statement.

    After an opening bracket that is not closed before a quote or the end, no name begins with a bracket up to
    there. The pattern without such names is used meanwhile: with the other one each further bracket would
    be searched for its end in vain, which takes time quadratic in their number.
    """
    position = 0
    while True:
        for token in TOKEN_PATTERN.finditer(statement, position):
            yield token
            if token.lastgroup == "opening_bracket":
                position = token.end()
                break
        else:
            return
        match = UNCLOSED_BRACKET_PATTERN.match(statement, position)
        end = match.end() if match else position
        for token in BRACKETLESS_TOKEN_PATTERN.finditer(statement, position):
            if token.end() > end:  # read again by the pattern of all tokens
                break
            yield token
            position = token.end()
        else:
            return


def _group_of_name(name: str) -> TableGroup | None:
    """Return the group of a dotted name, or None if its schema name does not end in one."""
    if "." not in name:
        return None
    parts = [part.strip(QUOTES) for part in NAME_PATTERN.findall(name)]
    if len(parts) < 2:
        return None
    schema = parts[-2]
    match = GROUP_PATTERN.search(schema)
    if match is None or schema.lower() == STAGING_SCHEMA:
        return None
    digits = match.group(1)
    group = int(digits) if len(digits) <= MAX_GROUP_DIGITS else 0
    return TableGroup(group, ".".join(parts))
