"""The command ``explain``."""

import click

from carobwalk.cli._admin_answer import AdminSession
from carobwalk.cli._admin_connection import AdminCall
from carobwalk.cli._admin_session import session_options
from carobwalk.cli._admin_text import value_text
from carobwalk.cli._commands import register


@register
@click.command('explain')
@click.option('--service', required=True, help='Name of the service.')
@click.option('--key', required=True, help='The key.')
@session_options
def explain_command(session: AdminSession, service: str, key: str) -> None:
    """Explain by which profile, owner and dispatcher a key is served."""
    call = AdminCall(
        method='GET',
        path='/v1/explain',
        query={'service': service, 'key': key},
    )
    answer = session.fetch(call)
    ownership = answer['ownership']
    profile, revision = answer['profile'], answer['revision']
    session.echo(
        answer,
        f'service {service} under profile {profile}, revision {revision}',
        *(
            f'{part} {value_text(ownership[part])}'
            for part in ('shard', 'owner', 'dispatcher', 'token')
        ),
        *(f'because {reason}' for reason in ownership['why']),
    )
