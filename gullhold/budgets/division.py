"""Who should have how much of a whole: max-min fair by weight, a floor for each, parts that don't swing.

Decisions only. Units are the budget's own; parts are whole numbers.
"""

from heapq import heapify, heappop, heappush

SWING = 0.1  # of a part: a change by less is left alone, unless somebody wants what it would free


def shares(whole, wants, weights, floor, grain=1, turn=0):
    """The part of each, in all the whole: nobody gets less than the floor, as far as the whole goes; then
    whoever has least for its weight is served first, up to what it wants; what nobody wants now is spread by
    weight, for a rush to come.

    wants, weights: by member; floor: a whole number. grain: the least that is of use; all but one part are
    whole grains. Where not all can have one, the first in line from `turn` on are served.
    """
    names = list(wants)
    if not names or whole <= 0:
        return dict.fromkeys(names, 0)
    if grain > 1:
        parts = shares(
            whole // grain,
            {name: -(-want // grain) for name, want in wants.items()},
            weights,
            -(-floor // grain),
            turn=turn,
        )
        parts = {name: part * grain for name, part in parts.items()}
        parts[max(parts, key=parts.get)] += whole % grain  # less than a grain: of use beside others alone
        return parts
    names = names[(turn := turn % len(names)) :] + names[:turn]
    floor = min(floor, whole // len(names))
    parts = dict.fromkeys(names, floor)
    left = whole - floor * len(names)
    open_ones = [name for name in names if wants[name] > floor]
    left = _fill(parts, open_ones, wants, weights, left)
    if left:
        _spread(parts, names, weights, left)
    return parts


def _fill(parts, open_ones, wants, weights, left):
    """Raise the least by weight until all wants are met or nothing is left; what is left."""
    while open_ones and left:
        total = sum(weights[name] for name in open_ones)
        level = min([(parts[name] + left * weights[name] / total) / weights[name] for name in open_ones])
        met = []
        for name in open_ones:
            most = min(wants[name], int(level * weights[name]))
            given = max(0, min(left, most - parts[name]))
            parts[name] += given
            left -= given
            if parts[name] >= wants[name]:
                met.append(name)
        if not met:
            return _singly(parts, open_ones, wants, weights, left)
        open_ones = [name for name in open_ones if name not in set(met)]
    return left


def _singly(parts, open_ones, wants, weights, left):
    """The last few, one by one, to whoever has least for its weight."""
    line = [(parts[name] / weights[name], i, name) for i, name in enumerate(open_ones)]
    heapify(line)
    while line and left:
        _, i, name = heappop(line)
        parts[name] += 1
        left -= 1
        if parts[name] < wants[name]:
            heappush(line, (parts[name] / weights[name], i, name))
    return left


def _spread(parts, names, weights, left):
    """What nobody wants now, by weight."""
    total = sum(weights[name] for name in names)
    for name in names:
        parts[name] += int(left * weights[name] / total)
    over = left - sum(int(left * weights[name] / total) for name in names)
    for name in names[:over]:
        parts[name] += 1


def calm(old, new, wants, swing=SWING):
    """The new parts, but for small changes that help nobody: who has enough keeps what it has.

    A part is left as it was where it changes by less than the swing, unless somebody wants more than it has.
    """
    short = any(wants[name] > old.get(name, 0) for name in new)
    if short or set(old) != set(new):
        return new
    kept = {
        name: old[name] if abs(part - old[name]) <= swing * max(1, old[name]) else part
        for name, part in new.items()
    }
    return kept if sum(kept.values()) <= sum(new.values()) else new
