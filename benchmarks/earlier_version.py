"""Unpacks the project as of an earlier commit, so that benchmarks can compare against it."""

import subprocess
import tarfile
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from io import BytesIO
from pathlib import Path

from gullhold.testing.running import ROOT


@contextmanager
def checkout(commit: str) -> Iterator[Path | None]:
    """A temporary folder with the project as of a commit, or None if git does not have the commit."""
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        yield None
        return
    with tempfile.TemporaryDirectory(prefix="gullhold-earlier-") as folder:
        with tarfile.open(fileobj=BytesIO(archive.stdout)) as packed:
            packed.extractall(folder, filter="data")
        yield Path(folder)
