"""The checker of a fleet: reads the register's journal and the engines' records, and knows none of our code.

What it takes as given is how things are written: duties/NAME holds who owns a duty, the revision of its last
change is the token, beats/ and plan/ are effects, whose transactions compare the token.
"""

import json
from collections import defaultdict


class Check:
    """Goes through a journal once. Everything that is wrong is in `broken`, a line each."""

    def __init__(self, lines):
        self.broken, self.held, self.highest = [], {}, defaultdict(int)
        self.late, self.effects, self.moves = 0, 0, 0
        self.records = defaultdict(dict)  # (command, due): {revision: record}
        self.took = defaultdict(list)  # duty: (time, token, owner)
        self.first_effect = {}  # (duty, token): time
        self.leases = defaultdict(set)
        revision = 0
        for line in lines:
            if line.get("revision", revision) < revision:
                self.broken.append(f"the register went back from revision {revision}: {line}")
            revision = line.get("revision", revision)
            if line["what"] in ("lease ended", "lease revoked"):
                for duty in self.leases.pop(line["lease"], ()):
                    self.held.pop(duty, None)
            elif line["what"] == "txn":
                self._txn(line)
            elif line["what"] == "began":
                self._began(line["keys"])

    def owners(self):
        """{duty: (owner, token)} at the end."""
        return {duty: (owner, token) for duty, (owner, token, _) in self.held.items()}

    def _began(self, keys):
        """A register that was killed: what it committed and had not yet written down is in its keys."""
        found = {
            _tail(key): (json.loads(value)["owner"], revision, lease)
            for key, value, revision, lease in keys
            if _tail(key).startswith("duties/")
        }
        self.held = {key.removeprefix("duties/"): told for key, told in found.items()}
        self.leases = defaultdict(set)
        for duty, (_, revision, lease) in self.held.items():
            self.leases[lease].add(duty)
            self.highest[duty] = max(self.highest[duty], revision)

    def _txn(self, line):
        when = {_tail(key): revision for key, revision in line["when"]}
        tokens = {
            key.removeprefix("duties/"): revision
            for key, revision in when.items()
            if key.startswith("duties/")
        }
        puts = [(_tail(key), value, lease) for kind, key, value, lease in line["acts"] if kind == "put"]
        drops = [_tail(key) for kind, key, _, _ in line["acts"] if kind == "delete"]
        effects = [key for key, _, _ in puts if key.startswith(("beats/", "plan/"))]
        if effects:
            self._effect(line, tokens, effects)
        if not line["met"]:
            return
        for key, value, lease in puts:
            if key.startswith("duties/"):
                self._owned(line, key.removeprefix("duties/"), json.loads(value)["owner"], lease)
            elif key.startswith("plan/") and "/run/" in key:
                _, command, _, due = key.split("/")
                self.records[command, int(due)][line["revision"]] = json.loads(value)
        for key in drops:
            old = self.held.pop(key.removeprefix("duties/"), None) if key.startswith("duties/") else None
            if old:
                self.leases[old[2]].discard(key.removeprefix("duties/"))

    def _owned(self, line, duty, owner, lease):
        old = self.held.get(duty)
        if old and old[0] != owner:
            self.broken.append(f"{duty} was taken from {old} by {owner} at revision {line['revision']}")
        if line["revision"] <= self.highest[duty]:
            self.broken.append(f"the token of {duty} did not grow: {line['revision']}")
        if old:
            self.leases[old[2]].discard(duty)
        if self.took[duty] and self.took[duty][-1][2] != owner:
            self.moves += 1
        self.highest[duty] = line["revision"]
        self.held[duty] = (owner, line["revision"], lease)
        self.leases[lease].add(duty)
        self.took[duty].append((line["at"], line["revision"], owner))

    def _effect(self, line, tokens, effects):
        if len(tokens) != 1:
            self.broken.append(f"an effect with {len(tokens)} tokens: {effects}")
            return
        ((duty, token),) = tokens.items()
        current = self.held.get(duty, ("", 0, 0))[1]
        if line["met"]:
            self.effects += 1
            self.first_effect.setdefault((duty, token), line["at"])
            if token != current:
                self.broken.append(f"{duty}: an effect under token {token}, now {current or 'nobody'}'s")
        elif token != current:
            self.late += 1

    # Occurrences

    def occurrences(self):
        """{(command, due): the last record of it}."""
        return {key: found[max(found)] for key, found in self.records.items()}

    def handovers(self):
        """(duty, time of the first effect of who took it over, time it was taken), a change of owner each."""
        return [
            (duty, self.first_effect.get((duty, now[1])), now[0])
            for duty, rows in self.took.items()
            for old, now in zip(rows, rows[1:], strict=False)
            if now[2] != old[2]
        ]


def marks(engines):
    """What engines were sent, by mark: {mark: [(time, profile)]}."""
    found = defaultdict(list)
    for engine in engines:
        for at, mark, profile, _ in engine.kept:
            if mark:
                found[mark].append((at, profile))
    return found


def sent(engines):
    """What engines were sent, by statement: {statement: [(time, profile)]}."""
    found = defaultdict(list)
    for engine in engines:
        for at, _, profile, statement in engine.kept:
            found[statement].append((at, profile))
    return found


def _tail(key):
    """A key without its fleet."""
    return key.split("/", 3)[3]
