"""The checker of changes of policy: by what engines were sent; a policy is known by the memory it grants.

It shares nothing with what it checks but the words of the engines' protocol and the keys of the register.
"""

import json


def by_policy(engines, grants):
    """[(time, place in `grants`)] of all sends in order of time; place 0 is what no change has touched.

    grants: MB that each policy grants, in the order in which they came to be in force, from place 1 on.
    """
    places = {mb: i + 1 for i, mb in enumerate(grants)}
    return sorted((row[0], places.get(row[5], 0)) for engine in engines for row in engine.flights)


def mixed(sends):
    """(sends under an older policy after the first under a newer one, the longest such overlap in ms)."""
    first, last, count, newest = {}, {}, 0, 0
    for at, place in sends:
        first.setdefault(place, at)
        last[place] = at
        count += place < newest
        newest = max(newest, place)
    overlaps = [
        last[old] - at for place, at in first.items() for old in last if old < place and last[old] > at
    ]
    return count, round(max(overlaps, default=0.0) * 1000, 1)


class Changes:
    """Goes through a register's journal: what was decided, and what members had said by then.

    without_all: decisions made while somebody on the roll had not said ready or still; turned_down: those
    that somebody had refused; split: ended changes after which not all went by one number; held_s: from
    a strict change's being prepared to a member's going by it, for each; outcomes: {number: "decided" or
    "dropped"}.
    """

    def __init__(self, lines):
        self.words, self.without_all, self.turned_down, self.outcomes = {}, 0, 0, {}
        self.leases, self.split, self.held_s, self.prepared_at = {}, 0, [], 0.0
        for line in lines:
            self.at = line.get("at", 0.0)
            if line["what"] in ("lease ended", "lease revoked"):
                for member in self.leases.pop(line["lease"], ()):
                    self.words.pop(member, None)
            elif line["what"] == "began":
                self.words, self.leases = {}, {}
                for key, value, _, lease in line["keys"]:
                    self._word(key.split("/", 3)[3], value, lease)
            elif line["what"] == "txn" and line["met"]:
                for kind, key, value, lease in line["acts"]:
                    self._act(kind, key.split("/", 3)[3], value, lease)

    def _word(self, key, value, lease):
        if key.startswith("policy/words/"):
            member, word = key.removeprefix("policy/words/"), json.loads(value)
            if self.words.get(member, {}).get("word") == "still" and word["word"] == "under":
                self.held_s.append(self.at - self.prepared_at)
            self.words[member] = word
            self.leases.setdefault(lease, set()).add(member)

    def _act(self, kind, key, value, lease):
        if kind == "put":
            self._word(key, value, lease)
        if key == "policy/now/change" and kind == "delete":
            self.split += len({word["under"] for word in self.words.values()}) > 1
        if key != "policy/now/change" or kind != "put":
            return
        told = json.loads(value)
        self.prepared_at = self.at if told["state"] == "prepared" else self.prepared_at
        number, strict = told["record"]["number"], told["overlap"] == "strict"
        if told["state"] in ("decided", "dropped"):
            self.outcomes[number] = told["state"]
        if told["state"] == "decided":
            wanted = ("still",) if strict else ("ready", "trial", "still")
            self.without_all += any(
                word["about"] != number or word["word"] not in wanted for word in self.words.values()
            )
            self.turned_down += any(
                word["about"] == number and word["word"] == "refused" for word in self.words.values()
            )

    def under(self):
        """{member's name: the number that it goes by}."""
        return {member.partition("/")[0]: word["under"] for member, word in self.words.items()}
