"""The HTML page of `gullhold fleet report`: a running fleet's budgets, sampled for some time."""

import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from importlib.resources import files
from typing import Any, NamedTuple

from rich.progress import track

from gullhold.budgets.stored_budgets import StoredBudget, stored_budgets
from gullhold.fleet.store_calls import KeyValue

SAMPLE_INTERVAL_S = 0.25
MIN_SAMPLES = 2  # a chart needs two points
TEMPLATE = "usage_report.html.j2"
CHART_WIDTH = 900  # pixels
CHART_HEIGHT = 320  # pixels


class Sample(NamedTuple):
    """All budgets of a fleet, by name, at a time. at_s: seconds since the sampling began."""

    at_s: float
    budgets: Mapping[str, StoredBudget]


class BudgetSample(NamedTuple):
    """One budget at a time. at_s: seconds since the sampling began."""

    at_s: float
    budget: StoredBudget


def sample_budgets(
    read: Callable[[], Iterable[KeyValue]], seconds: float, interval_s: float = SAMPLE_INTERVAL_S
) -> list[Sample]:
    """Sample a running fleet's budgets for some seconds.

    read: returns all keys under the budgets' root in the store.
    """
    began = time.monotonic()
    samples = []
    sample_count = max(MIN_SAMPLES, int(seconds / interval_s))
    for index in track(range(sample_count), description="watching", transient=True):
        time.sleep(max(0.0, began + index * interval_s - time.monotonic()))
        at_s = round(time.monotonic() - began, 2)
        samples.append(Sample(at_s, stored_budgets(read())))
    return samples


def budget_names(samples: Iterable[Sample]) -> list[str]:
    """Return the sorted names of all budgets that occur in any sample."""
    return sorted({name for sample in samples for name in sample.budgets})


def render_page(fleet_name: str, samples: Sequence[Sample]) -> str:
    """Return the page: figures on each budget's allocation, use and waiting, and a chart of each budget."""
    import jinja2  # noqa: PLC0415  only a report needs it

    source = files("gullhold.budgets").joinpath(TEMPLATE).read_text("utf-8")
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(source)
    budgets = [_summary(name, samples) for name in budget_names(samples)]
    return template.render(fleet=fleet_name, seconds=samples[-1].at_s, budgets=budgets)


def _summary(name: str, samples: Iterable[Sample]) -> dict[str, Any]:
    """Return the template's variables for one budget."""
    seen = [BudgetSample(at_s, budgets[name]) for at_s, budgets in samples if name in budgets]
    latest = seen[-1].budget
    allocated = [sample.budget.allocated() for sample in seen]
    used = [sample.budget.used_by_all() for sample in seen]
    return {
        "name": name,
        "total": latest.total,
        "reserve": latest.reserve,
        "mean_allocated": round(sum(allocated) / len(allocated), 1),
        "max_allocated": max(allocated),
        "mean_used": round(sum(used) / len(used), 1),
        "samples_with_waiting": sum(bool(sample.budget.waiting) for sample in seen),
        "samples": len(seen),
        "chart": _chart(name, seen),
    }


def _chart(name: str, samples: Sequence[BudgetSample]) -> str:
    """Return an SVG chart of one budget over time: each member's allocation, the sum of use, the total."""
    import pygal  # noqa: PLC0415  only a report needs it

    chart = pygal.XY(
        title=name,
        height=CHART_HEIGHT,
        width=CHART_WIDTH,
        js=(),
        stroke=True,
        show_dots=False,
        legend_at_bottom=True,
        x_title="s",
        disable_xml_declaration=True,
    )
    members = sorted({member for sample in samples for member in sample.budget.allocations})
    for member in members:
        points = [(at_s, budget.allocations.get(member, 0)) for at_s, budget in samples]
        chart.add(member.partition("/")[0], points)
    chart.add("used by all", [(at_s, budget.used_by_all()) for at_s, budget in samples])
    chart.add("whole", [(at_s, budget.total) for at_s, budget in samples])
    return chart.render(is_unicode=True)
