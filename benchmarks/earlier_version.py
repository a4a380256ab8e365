"""The project as it was at an earlier commit, to measure against."""

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
    """A folder with the project as it was at a commit, or None where git does not have that."""
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        yield None
        return
    with tempfile.TemporaryDirectory(prefix="gullhold-earlier-") as folder:
        with tarfile.open(fileobj=BytesIO(archive.stdout)) as packed:
            packed.extractall(folder, filter="data")
        yield Path(folder)
