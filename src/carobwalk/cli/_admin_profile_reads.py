"""The read-only subcommands of ``profile``."""

from typing import Any

import click

from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_history import (
    compare_resolved,
    fetch_changes,
    merge_field_changes,
)
from carobwalk.cli._admin_options import client_options
from carobwalk.cli._admin_text import (
    format_change,
    format_field_changes,
    format_table,
    format_value,
)
from carobwalk.cli._commands import register

PROFILES_PATH = '/v1/profiles'
_UNLIMITED_CHANGES = 1_000_000
_DEFAULT_CHANGES = 20


def fetch_profile(client: AdminClient, name: str) -> dict[str, Any]:
    """Fetch a profile with its own and its resolved fields."""
    path = f'{PROFILES_PATH}/{name}'
    return client.request(AdminCall(method='GET', path=path))


def fetch_profiles(client: AdminClient) -> dict[str, Any]:
    """Fetch the list of profiles with the revision of the configuration."""
    return client.request(AdminCall(method='GET', path=PROFILES_PATH))


@register
@click.group('profile')
def profile_group() -> None:
    """Look at profiles and change them."""


@profile_group.command('list')
@client_options
def list_profiles(client: AdminClient) -> None:
    """List all profiles."""
    answer = fetch_profiles(client)
    rows = [
        (
            profile['name'],
            profile['revision'],
            profile['parent'] or '-',
            profile['services'],
        )
        for profile in answer['profiles']
    ]
    header = ('NAME', 'REVISION', 'PARENT', 'SERVICES')
    client.echo(answer, *format_table([header, *rows]))


@profile_group.command('show')
@click.argument('name')
@client_options
def show_profile(client: AdminClient, name: str) -> None:
    """Show the profile NAME with inherited values."""
    answer = fetch_profile(client, name)
    rows = [
        (
            field,
            'yes' if field in answer['fields'] else '-',
            format_value(value),
        )
        for field, value in sorted(answer['resolved'].items())
    ]
    services = ', '.join(answer['services']) or '-'
    parent = answer['fields'].get('parent', '-')
    revision = answer['revision']
    client.echo(
        answer,
        f'profile {name} at revision {revision}',
        f'parent {parent}, services {services}',
        *format_table([('FIELD', 'SET HERE', 'VALUE'), *rows]),
    )


@profile_group.command('history')
@click.argument('name')
@click.option(
    '--limit',
    default=_DEFAULT_CHANGES,
    show_default=True,
    help='Most changes.',
)
@client_options
def show_history(client: AdminClient, name: str, limit: int) -> None:
    """Show who changed the profile NAME, when, why and how."""
    changes = fetch_changes(client, f'profile/{name}', limit)
    lines = [line for change in changes for line in format_change(change)]
    client.echo({'changes': changes}, *lines)


@profile_group.command('diff')
@click.argument('name')
@click.argument('other', required=False)
@click.option(
    '--since',
    type=click.IntRange(min=0),
    default=0,
    help='Revision to compare with; from the start if left out.',
)
@client_options
def show_difference(
    client: AdminClient,
    name: str,
    other: str | None,
    since: int,
) -> None:
    """Show how NAME changed since a revision, or differs from OTHER."""
    if other is None:
        changes = fetch_changes(
            client,
            f'profile/{name}',
            _UNLIMITED_CHANGES,
            since,
        )
        fields = merge_field_changes(changes)
    else:
        fields = compare_resolved(
            fetch_profile(client, name),
            fetch_profile(client, other),
        )
    lines = list(format_field_changes(fields)) or ['no difference']
    client.echo({'fields': fields}, *lines)
