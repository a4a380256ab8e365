"""Records calls, results and bytes as one hash of their values, which does not change when names do.

A tuple, a named tuple and a dataclass with the same values in the same order count as the same record, an
enum member counts as its value, and a float without a fraction as the equal integer. The names of types and
fields do not count; types that have to be told apart are given a tag number.
"""

from collections.abc import Callable, Mapping, Set
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import wraps
from hashlib import sha256
from typing import Any


class Recorder:
    """A running hash of records. tags: by type, the number that goes into the hash before its fields."""

    def __init__(self, tags: Mapping[type, int] | None = None) -> None:
        self.tags = dict(tags or {})
        self.records = 0
        self._hash = sha256()

    def add(self, *values: object) -> None:
        """Add one record of these values to the hash."""
        self.records += 1
        self._hash.update(repr(self.canonical(values)).encode())

    def digest(self) -> str:
        """The hash of all records so far, in hexadecimal."""
        return self._hash.hexdigest()

    def canonical(self, value: object) -> Any:
        """The value as nested lists without names of types and fields; other objects become "object"."""
        if isinstance(value, Enum):
            return self.canonical(value.value)
        if value is None or isinstance(value, str | bytes):
            return value
        if isinstance(value, bool | int):
            return int(value)
        if isinstance(value, float):
            return int(value) if value.is_integer() else value
        if isinstance(value, bytearray | memoryview):
            return bytes(value)
        if isinstance(value, Mapping):
            return [[self.canonical(key), self.canonical(item)] for key, item in value.items()]
        if isinstance(value, Set):
            return sorted((self.canonical(item) for item in value), key=repr)
        if is_dataclass(value) and not isinstance(value, type):
            value_list = [getattr(value, field.name) for field in fields(value)]
            return self._tag(value) + [self.canonical(item) for item in value_list]
        if isinstance(value, tuple | list):
            return self._tag(value) + [self.canonical(item) for item in value]
        return "object"

    def _tag(self, value: object) -> list[int]:
        tag = self.tags.get(type(value))
        return [] if tag is None else [tag]

    def recording(self, number: int, call: Callable) -> Callable:
        """Wrap a method so that each call records this number, the arguments as passed, and the result."""

        @wraps(call)
        def recorded(target: object, *args: object, **named: object) -> object:
            before = self.canonical((args, list(named.values())))
            result = call(target, *args, **named)
            self.add(number, before, result)
            return result

        return recorded
