"""`gullhold fleet budgets|plan|report`: what a fleet's budgets are, what would be given, how a run went."""

import json
import sys
import time
from importlib.resources import files

from rich.console import Console
from rich.progress import track
from rich.table import Table

from gullhold.budgets import duty
from gullhold.budgets.divider import Budget, plan
from gullhold.budgets.ledger import HELD
from gullhold.fleet.store_calls import Proof, ReadPrefix
from gullhold.fleet.store_client import StoreClient
from gullhold.fleet.store_schema import fleet_prefix

TIMEOUT_S = 3.0
LOOK_S = 0.25  # between looks of a report
TEMPLATE = "report.html.j2"


def standing(items):
    """{budget: {"whole", "back", "parts", "used", "waits", "owes"}} by what the register holds.

    parts, used: by member; waits: members that want more than they have; owes: members of whom something was
    taken that they may still use, or that have gone while what they began may go on.
    """
    wholes, found, wants = {}, {}, {}

    def of(name):
        whole, back = wholes.get(name) or wholes.get(name.partition("/")[0]) or (0, 0)
        return found.setdefault(
            name, {"whole": whole, "back": back, "parts": {}, "used": {}, "waits": [], "owes": []}
        )

    for item in items:
        if item.key == duty.FENCE:
            wholes = duty.fence_of(item.value)
    for item in items:
        if item.key.startswith(duty.ASKS):
            report = duty.report_of(item.value)
            for name, (_, used, want) in (report[1] if report else {}).items():
                of(name)["used"][item.key.removeprefix(duty.ASKS)] = used
                wants[name, item.key.removeprefix(duty.ASKS)] = want
    for item in items:
        if item.key.startswith(duty.PARTS):
            member = item.key.removeprefix(duty.PARTS)
            for name, packed in duty.row_of(item.value)[1].items():
                of(name)["parts"][member] = duty.part_in(packed)
                if not isinstance(packed, int) and (packed[2] or packed[3] or packed[1] > packed[0]):
                    of(name)["owes"].append(member)
    for (name, member), want in wants.items():
        if want > found[name]["parts"].get(member, 0):
            found[name]["waits"].append(member)
    return found


def rows(items):
    """What staff see, a dict a budget."""
    return [
        {
            "budget": name,
            "whole": told["whole"],
            "kept back": told["back"],
            "given": sum(told["parts"].values()),
            "used": sum(told["used"].values()),
            "idle": max(0, sum(told["parts"].values()) - sum(told["used"].values())),
            "parts": ", ".join(
                f"{member.partition('/')[0]} {part}" for member, part in sorted(told["parts"].items()) if part
            ),
            "waiting": ", ".join(sorted(member.partition("/")[0] for member in told["waits"])),
            "for": ", ".join(sorted(member.partition("/")[0] for member in told["owes"])),
        }
        for name, told in sorted(standing(items).items())
    ]


def _print(title, found, as_json):
    if as_json:
        for row in found:
            print(json.dumps(row))
        return
    table = Table(title=title)
    for column in found[0] if found else ("nothing",):
        table.add_column(column)
    for row in found:
        table.add_row(*map(str, row.values()))
    Console().print(table)


def _reader(address, name):
    session = StoreClient(address, fleet_prefix(name), TIMEOUT_S)

    def read():
        reply = session.call(ReadPrefix(duty.ROOT))
        if reply.proof != Proof.DONE:
            raise ConnectionError
        return reply.items

    return read


def run(address, name, as_json):
    """`fleet budgets`: print them; the exit status, 1 where the register does not answer."""
    try:
        _print(f"budgets of {name}", rows(_reader(address, name)()), as_json)
    except ConnectionError:
        return _away(address)
    return 0


def _away(address):
    print(f"gullhold: the register at {address} does not answer", file=sys.stderr)
    return 1


def run_plan(members, whole, wants, floor, grain, alone, as_json):
    """`fleet plan`: what so many members would be given, by the decisions that divide; the exit status.

    wants: of the first members, the others want the last of it; empty: all want the whole.
    """
    budget = Budget(HELD, whole, alone=alone, members_most=members, floor=floor, grain=grain)
    wants = [*wants, *[wants[-1] if wants else whole] * members][:members]
    parts = plan(budget, {f"member {i + 1}": want for i, want in enumerate(wants)})
    found = [
        {"member": member, "wants": wants[i], "part": part, "and alone": alone}
        for i, (member, part) in enumerate(parts.items())
    ]
    given = sum(parts.values())
    _print(f"{whole} among {members}: {given} given, {alone * members} kept back", found, as_json)
    return 0


def watched(read, seconds, look_s=LOOK_S):
    """[(s since the first look, standing)] of a running fleet, looked at for so long."""
    began, found = time.monotonic(), []
    for i in track(range(max(2, int(seconds / look_s))), description="watching", transient=True):
        time.sleep(max(0.0, began + i * look_s - time.monotonic()))
        found.append((round(time.monotonic() - began, 2), standing(read())))
    return found


def _chart(name, looks):
    """An SVG of one budget over time: each member's part, all that is used, and the whole."""
    import pygal  # noqa: PLC0415  only a report needs it

    chart = pygal.XY(
        title=name,
        height=320,
        width=900,
        js=(),
        stroke=True,
        show_dots=False,
        legend_at_bottom=True,
        x_title="s",
        disable_xml_declaration=True,
    )
    told = [(at, standing_at[name]) for at, standing_at in looks if name in standing_at]
    members = sorted({member for _, one in told for member in one["parts"]})
    for member in members:
        chart.add(member.partition("/")[0], [(at, one["parts"].get(member, 0)) for at, one in told])
    chart.add("used by all", [(at, sum(one["used"].values())) for at, one in told])
    chart.add("whole", [(at, one["whole"]) for at, one in told])
    return chart.render(is_unicode=True)


def page(name, looks):
    """The report as HTML: for each budget a plot and what was given, used and waited for."""
    import jinja2  # noqa: PLC0415  only a report needs it

    source = files("gullhold.budgets").joinpath(TEMPLATE).read_text("utf-8")
    budgets = sorted({budget for _, one in looks for budget in one})
    found = []
    for budget in budgets:
        told = [one[budget] for _, one in looks if budget in one]
        given = [sum(one["parts"].values()) for one in told]
        spent = [sum(one["used"].values()) for one in told]
        found.append(
            {
                "name": budget,
                "whole": told[-1]["whole"],
                "back": told[-1]["back"],
                "given": round(sum(given) / len(given), 1),
                "used": round(sum(spent) / len(spent), 1),
                "most": max(given),
                "waited": sum(bool(one["waits"]) for one in told),
                "looks": len(told),
                "chart": _chart(budget, looks),
            }
        )
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(source)
    return template.render(fleet=name, seconds=looks[-1][0], budgets=found)


def run_report(address, name, seconds, path):
    """`fleet report`: watch a running fleet for so long and write a page; the exit status."""
    try:
        looks = watched(_reader(address, name), seconds)
    except ConnectionError:
        return _away(address)
    with open(path, "w", encoding="utf-8") as out:
        out.write(page(name, looks))
    print(f"{len(looks)} looks at {len({budget for _, one in looks for budget in one})} budgets: {path}")
    return 0
