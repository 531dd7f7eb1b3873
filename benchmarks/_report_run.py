"""One run of a benchmark in a process of its own."""

import json
import os
import subprocess
import sys
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).parent.parent
_DIGITS: Final = 1
_GIT_LIMIT_SECONDS: Final = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class BenchmarkRun:
    """What one run gave.

    Args:
        name: Name of the benchmark.
        seed: Its seed.
        date: Day and time of the start, UTC.
        seconds: Duration.
        load: Mean number of runnable tasks of the machine at the start.
        exit_code: Exit code; ``None`` if the time limit ended the run.
        figures: The JSON object of the last line; empty if there was none.
        revision: Commit of the tree, with a mark if files differed from it.
    """

    name: str
    seed: int
    date: str
    seconds: float
    load: float
    exit_code: int | None
    figures: dict[str, Any]
    revision: str = ''

    @property
    def command(self) -> str:
        """Return the command that repeats the run."""
        return f'make bench NAME={self.name} SEED={self.seed}'

    @property
    def verdict(self) -> str:
        """Return how the run ended, in a word or two."""
        if self.exit_code is None:
            return 'time limit'
        if not self.figures:
            return f'no figures, exit code {self.exit_code}'
        is_met = self.exit_code == 0 and self.figures.get('ok') is True
        return 'met' if is_met else 'not met'


def benchmark_names(folder: Path) -> list[str]:
    """Return the names of the benchmarks.

    Args:
        folder: Folder of the modules; those with an underscore are helpers.
    """
    modules = folder.glob('*.py')
    return sorted(
        module.stem for module in modules if not module.stem.startswith('_')
    )


def last_object(output: str) -> dict[str, Any]:
    """Return the JSON object of the last line; empty if there is none.

    Args:
        output: What a benchmark printed.
    """
    lines = output.strip().splitlines() or ['']
    try:
        decoded = json.loads(lines[-1])
    except json.JSONDecodeError:
        return {}
    return decoded if isinstance(decoded, dict) else {}


def run_benchmark(name: str, seed: int, limit_seconds: float) -> BenchmarkRun:
    """Run a benchmark and wait for its end.

    Args:
        name: Name of the benchmark.
        seed: Its seed.
        limit_seconds: Longest duration; then the process is killed.
    """
    command = (sys.executable, '-m', 'benchmarks', name, '--seed', str(seed))
    revision = _revision()
    date = datetime.now(UTC).strftime('%Y-%m-%d %H:%M')
    load = os.getloadavg()[0]
    began = time.monotonic()
    exit_code, output = _execute(command, limit_seconds)
    return BenchmarkRun(
        name=name,
        seed=seed,
        date=date,
        seconds=round(time.monotonic() - began, _DIGITS),
        load=round(load, _DIGITS),
        exit_code=exit_code,
        figures=last_object(output),
        revision=revision,
    )


def _revision() -> str:
    command = ('git', 'describe', '--always', '--dirty')
    exit_code, output = _execute(command, _GIT_LIMIT_SECONDS)
    return output.strip() if exit_code == 0 else ''


def _execute(
    command: tuple[str, ...],
    limit_seconds: float,
) -> tuple[int | None, str]:
    try:
        ended = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            timeout=limit_seconds,
            check=False,
        )
    except (subprocess.TimeoutExpired, FileNotFoundError):
        return None, ''
    return ended.returncode, ended.stdout
