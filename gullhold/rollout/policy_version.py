"""A numbered, immutable version of the fleet's policy, sealed with a digest."""

import json
from hashlib import blake2s
from typing import NamedTuple

DIGEST_BYTES = 16  # enough that no two versions of one fleet share a digest by accident


class PolicyError(Exception):
    """A policy, a version of it or a change that can't be used; the text is one plain line."""


class PolicyVersion(NamedTuple):
    """One version of the policy.

    parent: number of the version that it was made from; created_at_us: Unix time; digest: of all the rest.
    """

    number: int
    parent: int
    author: str
    reason: str
    created_at_us: int
    text: str
    digest: str = ""

    def sealed(self) -> "PolicyVersion":
        """Return the version with its digest."""
        return self._replace(digest=self._computed_digest())

    def verify(self) -> None:
        """Raise PolicyError unless the digest fits."""
        if self.digest != self._computed_digest():
            raise PolicyError(f"the digest of {self.number} does not fit")

    def _computed_digest(self) -> str:
        return blake2s(json.dumps(self[:-1]).encode(), digest_size=DIGEST_BYTES).hexdigest()


# In force where nothing has been decided yet.
INITIAL_VERSION = PolicyVersion(0, 0, "", "what gateways were started with", 0, "policy: {}").sealed()
