"""Deep searches by hand: ``python -m tests.keyspace.grant_model``."""

import sys
import time

import click

from tests.keyspace.grant_model import ALL_RULES, search


@click.command()
@click.option('--limit', default=3_000_000, help='Most states to see.')
@click.option('--terms', default='1,5', help='Ticks of successive terms.')
@click.option('--ability', multiple=True, help='Ability of coordinators.')
@click.option('--without', multiple=True, help='Rule to disable.')
def main(
    limit: int, terms: str, ability: tuple[str, ...], without: tuple[str, ...]
) -> None:
    """Search and print the number of states and the trace that was found."""
    started = time.process_time()
    ticks = tuple(map(int, terms.split(',')))
    found = search(
        (ALL_RULES - frozenset(without)) | frozenset(ability), limit, ticks
    )
    for step in found.trace or ():
        click.echo(step)
    seconds = time.process_time() - started
    click.echo(
        f'{found.states} states, complete: {found.is_complete}, '
        f'{seconds:.1f} s of processor time',
    )
    sys.exit(1 if found.trace else 0)


if __name__ == '__main__':
    main()
