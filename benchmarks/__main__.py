"""Entry point of ``python -m benchmarks``."""

import importlib
import sys
from pathlib import Path

import click

from benchmarks._scheduling import make_scheduling_repeatable

_FOLDER = Path(__file__).parent


def _names() -> list[str]:
    """Return the names of the benchmarks."""
    return sorted(
        path.stem
        for path in _FOLDER.glob('*.py')
        if not path.stem.startswith('_')
    )


@click.command()
@click.argument('name', type=click.Choice(_names()))
@click.option('--seed', default=1, show_default=True)
def main(name: str, seed: int) -> None:
    """Run one benchmark; its last line is one JSON object."""
    make_scheduling_repeatable(seed)
    module = importlib.import_module(f'benchmarks.{name}')
    sys.exit(module.main(seed))


if __name__ == '__main__':
    main()
