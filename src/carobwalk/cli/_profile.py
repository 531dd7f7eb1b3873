"""The subcommands of ``profile`` that write."""

import click

from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_fields import FieldEdits, fields_options
from carobwalk.cli._admin_options import client_options
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
    fields: FieldEdits,
) -> None:
    """Create the profile NAME."""
    base = write.base_revision_or(fetch_profiles(client)['revision'])
    merged = fields.apply({})
    call = write.build_call(
        'POST',
        PROFILES_PATH,
        base,
        name=name,
        fields=merged,
    )
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
    fields: FieldEdits,
) -> None:
    """Change fields of the profile NAME and leave the others."""
    current = fetch_profile(client, name)
    merged = fields.apply(current['fields'])
    base = write.base_revision_or(current['revision'])
    path = f'{PROFILES_PATH}/{name}'
    send_write(client, write.build_call('PUT', path, base, fields=merged))


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
    send_write(client, write.build_call('POST', path, None, revision=change))


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
    base = write.base_revision_or(fetch_profile(client, name)['revision'])
    path = f'{PROFILES_PATH}/{name}'
    send_write(client, write.build_call('DELETE', path, base))
