"""The deploy file: its build compiles all modules, and its lists name all modules that decide and serve."""

import os
import shutil
import subprocess
import sys
import tomllib

from serving import ROOT


def test_a_start_after_the_build_compiles_nothing(tmp_path):
    """Guards against processes that compile modules when they start.

    Hundreds of processes that started at once without write access each compiled the same files. That took a
    third of the start time, and on a busy machine one process did not reach its first wait for events within
    20 s.
    """
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    shutil.copytree(ROOT / "gullhold", tmp_path / "gullhold", ignore=shutil.ignore_patterns("__pycache__"))
    os.symlink(sys.prefix, tmp_path / ".venv")
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=tmp_path, check=True)
    words = [".venv/bin/python", "-v", "-c", "import gullhold.__main__; from gullhold.net import service"]
    environment = os.environ | {"PYTHONDONTWRITEBYTECODE": "1"}
    start = subprocess.run(words, cwd=tmp_path, env=environment, capture_output=True, text=True, check=True)
    loaded = [line for line in start.stderr.splitlines() if "code object from" in line and "gullhold" in line]
    assert len(loaded) > 15
    assert not [line for line in loaded if line.strip("'").endswith(".py")]


def test_the_deploy_file_names_all_modules_that_decide_and_serve():
    """Guards against a renamed or added module that is missing from the lists for the operators' bench."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    listed = [*deploy["policy"], *deploy["node"]]
    assert [path for path in listed if not (ROOT / path).exists()] == []
    modules = {path.relative_to(ROOT).as_posix() for path in (ROOT / "gullhold/decisions").glob("*.py")}
    assert modules - set(deploy["policy"]) == {"gullhold/decisions/__init__.py"}  # only a docstring
    words = [sys.executable, "-c", "import sys; from gullhold.net import service; print(*sys.modules)"]
    loaded = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=True).stdout.split()
    paths = {name.replace(".", "/") for name in loaded if name.startswith("gullhold.")}
    parents = {path.rpartition("/")[0] for path in paths}
    files = {f"{path}.py" for path in paths - parents}
    uncovered = {
        file for file in files if not any(file == entry or file.startswith(entry + "/") for entry in listed)
    }
    assert uncovered == set()
