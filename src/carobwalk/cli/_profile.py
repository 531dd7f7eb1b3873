"""The commands ``profile``."""

import click

from carobwalk.cli._admin_answer import AdminClient
from carobwalk.cli._admin_client import client_options
from carobwalk.cli._admin_fields import FieldChoices, fields_options
from carobwalk.cli._admin_profile_reads import (
    PROFILES_PATH,
    fetch_profile,
    fetch_profiles,
    profile_group,
)
from carobwalk.cli._admin_write import (
    WriteOptions,
    reason_options,
    send_write,
    write_options,
)


@profile_group.command('create')
@click.argument('name')
@fields_options
@write_options
@client_options
def create_profile(
    client: AdminClient,
    write: WriteOptions,
    name: str,
    fields: FieldChoices,
) -> None:
    """Create the profile NAME."""
    base = write.base_or(fetch_profiles(client)['revision'])
    wanted = fields.apply({})
    call = write.call('POST', PROFILES_PATH, base, name=name, fields=wanted)
    send_write(client, call)


@profile_group.command('edit')
@click.argument('name')
@fields_options
@write_options
@client_options
def edit_profile(
    client: AdminClient,
    write: WriteOptions,
    name: str,
    fields: FieldChoices,
) -> None:
    """Change fields of the profile NAME and leave the others."""
    present = fetch_profile(client, name)
    wanted = fields.apply(present['fields'])
    base = write.base_or(present['revision'])
    path = f'{PROFILES_PATH}/{name}'
    send_write(client, write.call('PUT', path, base, fields=wanted))


@profile_group.command('revert')
@click.argument('name')
@click.option(
    '--change',
    type=click.IntRange(min=1),
    required=True,
    help='Revision of the change to take back.',
)
@reason_options
@client_options
def revert_profile(
    client: AdminClient,
    write: WriteOptions,
    name: str,
    change: int,
) -> None:
    """Take back one change of the profile NAME."""
    path = f'{PROFILES_PATH}/{name}/revert'
    send_write(client, write.call('POST', path, None, revision=change))


@profile_group.command('delete')
@click.argument('name')
@write_options
@client_options
def delete_profile(
    client: AdminClient,
    write: WriteOptions,
    name: str,
) -> None:
    """Delete the profile NAME, which nothing may use."""
    base = write.base_or(fetch_profile(client, name)['revision'])
    path = f'{PROFILES_PATH}/{name}'
    send_write(client, write.call('DELETE', path, base))
