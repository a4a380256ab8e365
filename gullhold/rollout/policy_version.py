"""A numbered, immutable version of the fleet's policy, with a digest of its content."""

import json
from hashlib import blake2s
from typing import NamedTuple

DIGEST_BYTES = 16  # enough that no two versions of one fleet share a digest by accident


class PolicyError(Exception):
    """A policy, version or change that can't be used; the message is one line for the operator."""


class PolicyVersion(NamedTuple):
    """One version of the policy.

    parent: number of the version in force that it replaces; reason: why it is proposed; created_at_us: Unix
    time; text: the policy's text; digest: hash of all other fields.
    """

    number: int
    parent: int
    author: str
    reason: str
    created_at_us: int
    text: str
    digest: str = ""

    def sealed(self) -> "PolicyVersion":
        """Return the version with its digest filled in."""
        return self._replace(digest=self._computed_digest())

    def verify(self) -> None:
        """Raise PolicyError unless the digest matches the other fields."""
        if self.digest != self._computed_digest():
            raise PolicyError(f"the digest of {self.number} does not fit")

    def _computed_digest(self) -> str:
        return blake2s(json.dumps(self[:-1]).encode(), digest_size=DIGEST_BYTES).hexdigest()


# The version that is in force until a first change is decided.
INITIAL_VERSION = PolicyVersion(0, 0, "", "what gateways were started with", 0, "policy: {}").sealed()
