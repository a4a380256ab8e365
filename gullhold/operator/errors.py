"""Errors in operator and policy files, with their location in the file."""

from collections.abc import Sequence
from typing import NamedTuple


class Location(NamedTuple):
    """A position in a file: the file's name, and the line and the column, both counted from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class OperatorFileError(Exception):
    """An operator or policy file is invalid; the message is one line of location, field path and description.

    path: names of the fields that lead to the invalid value, outermost first; text: the description.
    """

    def __init__(self, location: Location, path: Sequence[str], text: str) -> None:
        super().__init__(": ".join(part for part in (str(location), ".".join(path), text) if part))
        self.location = location
        self.path = tuple(path)
        self.text = text
