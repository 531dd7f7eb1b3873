"""The subcommands of ``token``."""

import click

from carobwalk.admin import Token, hash_secret, issue_token
from carobwalk.cli._admin_client import AdminClient
from carobwalk.cli._admin_options import client_options
from carobwalk.cli._admin_profile_reads import fetch_profiles
from carobwalk.cli._admin_write import (
    WriteOptions,
    send_write,
    write_options,
)
from carobwalk.cli._commands import register
from carobwalk.cli._output import OutputFormat, echo_json, output_option

_PATH = '/v1/tokens'
_ROLES = ('read', 'edit', 'assign')
_BOOTSTRAP_OPERATOR = 'bootstrap'


@register
@click.group('token')
def token_group() -> None:
    """Give operators tokens."""


@token_group.command('bootstrap')
@output_option
def make_bootstrap(output: str) -> None:
    """Make the first token, and the hash of it for the settings file."""
    token: Token = issue_token(_BOOTSTRAP_OPERATOR)
    secret_hash = hash_secret(token)
    if output == OutputFormat.JSON:
        echo_json({'token': str(token), 'hash': secret_hash})
        return
    click.echo(f'token {token}')
    click.echo(f'hash {secret_hash}')


@token_group.command('create')
@click.argument('operator')
@click.option(
    '--role',
    'roles',
    type=click.Choice(_ROLES),
    multiple=True,
    required=True,
    help='Right that the token carries; may be repeated.',
)
@write_options
@client_options
def create_token(
    client: AdminClient,
    write: WriteOptions,
    operator: str,
    roles: tuple[str, ...],
) -> None:
    """Issue a token to OPERATOR; it is shown once, and ends an earlier one."""
    base = write.base_revision_or(fetch_profiles(client)['revision'])
    answer = client.request(
        write.build_call('POST', _PATH, base, operator=operator, roles=roles),
    )
    client.echo(answer, answer.get('token', 'dry run: no token was made'))


@token_group.command('delete')
@click.argument('operator')
@write_options
@client_options
def delete_token(
    client: AdminClient,
    write: WriteOptions,
    operator: str,
) -> None:
    """End the token of OPERATOR."""
    base = write.base_revision_or(fetch_profiles(client)['revision'])
    path = f'{_PATH}/{operator}'
    send_write(client, write.build_call('DELETE', path, base))
