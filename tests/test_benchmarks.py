"""What all benchmarks share: bounds, the JSON in the last line, and a command line for each name in use."""

import json
import subprocess
import sys

import pytest

from benchmarks.harness import at_least, at_most, quantile, report_and_exit, rounded_quantile
from gullhold.testing.running import ROOT

COMMANDS = (
    "admission_queue",
    "budgets",
    "change",
    "door",
    "fleet_size",
    "leadership",
    "overload",
    "owner",
    "policy_rollout",
    "shutdown",
)


def reported(capsys, figures, bounds):
    """Report figures and return the exit status and the last line, decoded from JSON."""
    with pytest.raises(SystemExit) as exit_info:
        report_and_exit(figures, bounds)
    return exit_info.value.code, json.loads(capsys.readouterr().out.splitlines()[-1])


def test_a_run_within_its_bounds_ends_with_status_0_and_all_figures(capsys):
    bounds = {"slowest_s": at_most(1.5), "moves": at_least(3)}
    status, last_line = reported(capsys, {"slowest_s": 1.5, "moves": 3, "other": [1]}, bounds)
    assert status == 0
    assert last_line == {"slowest_s": 1.5, "moves": 3, "other": [1], "missed": []}


def test_a_run_that_misses_bounds_names_them_and_ends_with_status_1(capsys):
    bounds = {"slowest_s": at_most(1.5), "moves": at_least(3), "kept": at_most(0)}
    status, last_line = reported(capsys, {"slowest_s": 1.6, "moves": 2, "kept": 0}, bounds)
    assert status == 1
    assert last_line["missed"] == ["slowest_s", "moves"]


@pytest.mark.parametrize("bound", [at_most(5), at_least(5)])
def test_a_figure_that_could_not_be_taken_misses_its_bound(bound):
    assert bound.is_missed_by(None)


def test_a_quantile_is_one_of_the_values_or_none_without_values():
    assert quantile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert quantile(range(101)) == 95
    assert rounded_quantile([0.12345]) == 0.123
    assert quantile([]) is None
    assert rounded_quantile([]) is None


@pytest.mark.parametrize("name", COMMANDS)
def test_each_benchmark_accepts_quick_when_run_by_name(name):
    shown = subprocess.run(
        [sys.executable, "-m", f"benchmarks.{name}", "--help"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert "--quick" in shown.stdout
