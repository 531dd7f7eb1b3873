"""Runs of benchmarks, each in a process of its own."""

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
_DECIMALS: Final = 1
_GIT_LIMIT_SECONDS: Final = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class BenchmarkRun:
    """Result of one run.

    Args:
        name: Name of the benchmark.
        seed: Seed of the benchmark.
        date: Date and time of the start in UTC.
        seconds: Duration in seconds.
        load: Load average of the last minute at the start.
        exit_code: Exit code; ``None`` if the time limit ended the run.
        figures: JSON object of the last line; empty if there was none.
        revision: Commit of the working tree, marked if files differed from it.
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
        """Command that repeats the run."""
        return f'make bench NAME={self.name} SEED={self.seed}'

    @property
    def verdict(self) -> str:
        """Whether the targets were met, or why that is not known."""
        if self.exit_code is None:
            return 'time limit'
        if not self.figures:
            return f'no figures, exit code {self.exit_code}'
        is_met = self.exit_code == 0 and self.figures.get('ok') is True
        return 'met' if is_met else 'not met'


def benchmark_names(folder: Path) -> list[str]:
    """Return the names of the benchmarks.

    Args:
        folder: Directory of the modules; a leading underscore marks helpers.
    """
    modules = folder.glob('*.py')
    return sorted(
        module.stem for module in modules if not module.stem.startswith('_')
    )


def parse_last_object(output: str) -> dict[str, Any]:
    """Return the JSON object of the last line; empty if there is none.

    Args:
        output: Standard output of a benchmark.
    """
    lines = output.strip().splitlines() or ['']
    try:
        decoded = json.loads(lines[-1])
    except json.JSONDecodeError:
        return {}
    return decoded if isinstance(decoded, dict) else {}


def run_benchmark(name: str, seed: int, limit_seconds: float) -> BenchmarkRun:
    """Run a benchmark in a new process and wait until it exits.

    Args:
        name: Name of the benchmark.
        seed: Its seed.
        limit_seconds: Time after which the process is killed.
    """
    command = (sys.executable, '-m', 'benchmarks', name, '--seed', str(seed))
    revision = _describe_revision()
    date = datetime.now(UTC).strftime('%Y-%m-%d %H:%M')
    load = os.getloadavg()[0]
    started_at = time.monotonic()
    exit_code, output = _run_command(command, limit_seconds)
    return BenchmarkRun(
        name=name,
        seed=seed,
        date=date,
        seconds=round(time.monotonic() - started_at, _DECIMALS),
        load=round(load, _DECIMALS),
        exit_code=exit_code,
        figures=parse_last_object(output),
        revision=revision,
    )


def _describe_revision() -> str:
    command = ('git', 'describe', '--always', '--dirty')
    exit_code, output = _run_command(command, _GIT_LIMIT_SECONDS)
    return output.strip() if exit_code == 0 else ''


def _run_command(
    command: tuple[str, ...],
    limit_seconds: float,
) -> tuple[int | None, str]:
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            timeout=limit_seconds,
            check=False,
        )
    except (subprocess.TimeoutExpired, FileNotFoundError):
        return None, ''
    return completed.returncode, completed.stdout
