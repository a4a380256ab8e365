"""Errors in an operator file, with their place."""

from collections.abc import Sequence
from typing import NamedTuple


class Place(NamedTuple):
    """A place in a file: its name, line and column from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class OperatorFileError(Exception):
    """A file that can't be used; the message is one plain line with the place and the path of the fault.

    path: names of the fields, from the outermost, that lead to the fault; text: describes it.
    """

    def __init__(self, place: Place, path: Sequence[str], text: str) -> None:
        super().__init__(": ".join(part for part in (str(place), ".".join(path), text) if part))
        self.place = place
        self.path = tuple(path)
        self.text = text
