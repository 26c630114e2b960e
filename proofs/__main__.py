"""Runs the tests of every mutant in a scratch copy; exits 1 unless they detect each mutant."""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

from .mutants import MUTANTS, Mutant

ROOT = Path(__file__).parent.parent
COPIED = ("src", "platform", "tests", "standins", "specification", "pyproject.toml")
PARALLEL = 4
RUN_TIMEOUT_SECONDS = 300


@click.command()
@click.option("--only", default="", help="Only guards whose title contains TEXT.")
def main(only: str) -> None:
    """Remove each guard in turn and check that its tests fail."""
    chosen = [mutant for mutant in MUTANTS if only in mutant.guard]
    with ThreadPoolExecutor(PARALLEL) as pool:
        results = list(pool.map(_check_mutant, chosen))
    for mutant, result in zip(chosen, results, strict=True):
        click.echo(f"{result}: without '{mutant.guard}' ({mutant.file}, {mutant.tests})")
    detected_count = results.count("seen")
    click.echo(f"{detected_count} of {len(chosen)} removed guards were seen")
    sys.exit(0 if detected_count == len(chosen) else 1)


def _check_mutant(mutant: Mutant) -> str:
    with tempfile.TemporaryDirectory() as folder:
        for name in COPIED:
            source = ROOT / name
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, Path(folder) / name)
        path = Path(folder) / "src" / "savoryshelf" / mutant.file
        text = path.read_text()
        if text.count(mutant.old) != 1:
            return "STALE, its text does not occur exactly once in the file"
        path.write_text(text.replace(mutant.old, mutant.new))
        return _run_tests(mutant, folder)


def _run_tests(mutant: Mutant, folder: str) -> str:
    command = [sys.executable, "-m", "pytest", "-q", "-x", *mutant.tests.split()]
    environment = os.environ | {
        "PYTHONPATH": f"{folder}/src:{folder}",
        "SHRINK_FAILURES": "0",
    }
    try:
        done = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            timeout=RUN_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return "seen"
    # pytest exits with 1 if tests failed; other non-zero codes mean that they did not run.
    return {0: "NOT SEEN", 1: "seen"}.get(done.returncode, f"BROKEN RUN {done.returncode}")


if __name__ == "__main__":
    main()
