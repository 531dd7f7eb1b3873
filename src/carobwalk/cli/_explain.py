"""The command ``explain``."""

import click

from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_options import client_options
from carobwalk.cli._admin_text import format_value
from carobwalk.cli._commands import register


@register
@click.command('explain')
@click.option('--service', required=True, help='Name of the service.')
@click.option('--key', required=True, help='The key.')
@client_options
def explain_command(client: AdminClient, service: str, key: str) -> None:
    """Explain by which profile, owner and dispatcher a key is served."""
    call = AdminCall(
        method='GET',
        path='/v1/explain',
        query={'service': service, 'key': key},
    )
    answer = client.request(call)
    ownership = answer['ownership']
    profile, revision = answer['profile'], answer['revision']
    client.echo(
        answer,
        f'service {service} under profile {profile}, revision {revision}',
        *(
            f'{part} {format_value(ownership[part])}'
            for part in ('shard', 'owner', 'dispatcher', 'token')
        ),
        *(f'because {reason}' for reason in ownership['why']),
    )
