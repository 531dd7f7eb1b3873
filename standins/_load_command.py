"""Command that generates load."""

from pathlib import Path

import click
import msgspec
import trio

from carobwalk.model import Address, Rank, ServiceName
from standins._combine import combine
from standins.load import (
    LoadPlan,
    Observation,
    RankMix,
    run_load,
    summarise,
)

_DEFAULT_WEIGHT = 1
_RANKS_BY_OPTION = (
    ('lookup', Rank.LOOKUP),
    ('money', Rank.MONEY),
    ('bulk', Rank.BULK),
)


@click.command(name='load')
@combine(
    click.option('--entry', 'entries', multiple=True, required=True),
    click.option('--lookup', help='SERVICE or SERVICE=WEIGHT.'),
    click.option('--money', help='SERVICE or SERVICE=WEIGHT.'),
    click.option('--bulk', help='SERVICE or SERVICE=WEIGHT.'),
    click.option('--seconds', default=float(5), show_default=True),
    click.option('--callers', default=16, help='Callers of a closed loop.'),
    click.option('--rate', default=float(0), help='Open loop, requests/s.'),
    click.option('--keys', default=200, show_default=True),
    click.option('--skew', default=1.1, show_default=True),
    click.option('--repeat-share', default=0.1, show_default=True),
    click.option('--bulk-bytes', default=100_000, show_default=True),
    click.option('--work-ms', default=5, show_default=True),
    click.option('--timeout', default=float(15), show_default=True),
    click.option('--seed', default=1, show_default=True),
    click.option('--out', type=click.Path(path_type=Path, dir_okay=False)),
)
def load_command(
    entries: tuple[str, ...],
    out: Path | None,
    **options: object,
) -> None:
    """Send requests to entries and print what their callers saw."""
    mix = tuple(
        _parse_mix(rank, str(options[name]))
        for name, rank in _RANKS_BY_OPTION
        if options[name]
    )
    if not mix:
        raise click.UsageError('name a service by --lookup, --money or --bulk')
    addresses = tuple(_parse_address(entry) for entry in entries)
    fields = {**options, 'entries': addresses, 'mix': mix}
    plan = msgspec.convert(fields, type=LoadPlan)
    observations: list[Observation] = []
    trio.run(run_load, plan, observations.append)
    if out is not None:
        out.write_bytes(msgspec.json.Encoder().encode_lines(observations))
    summary = msgspec.json.encode(summarise(observations, plan.seconds))
    click.echo(msgspec.json.format(summary))


def _parse_mix(rank: Rank, text: str) -> RankMix:
    name, _, weight = text.partition('=')
    return RankMix(rank, ServiceName(name), float(weight or _DEFAULT_WEIGHT))


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
