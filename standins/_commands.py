"""Commands that run the stand-ins as processes of their own."""

from pathlib import Path

import click
import msgspec
import trio

from carobwalk.http import HttpHandler, serve_http
from carobwalk.model import Address, SuspendAwareClock
from carobwalk.store import Host
from standins._combine import combine
from standins._load_command import load_command
from standins.backend import BackendSettings, make_state, serve_backend
from standins.host_list_handler import HostListHandler
from standins.memory_host_list import MemoryHostList
from standins.platform import serve_deployment
from standins.store_handler import StoreHandler

_ADDRESS = '127.0.0.1:0'


@click.group(name='standins')
def main() -> None:
    """Run a stand-in of the platform, or callers that make a load."""


main.add_command(load_command)


@main.command()
@click.option('--listen', default=_ADDRESS, show_default=True)
def store(listen: str) -> None:
    """Run the key-value service."""
    trio.run(_serve_store, listen)


@main.command(name='platform')
@click.option('--listen', default=_ADDRESS, show_default=True)
def platform(listen: str) -> None:
    """Run a deployment of the users' platform: store and backend servers."""
    host, _, port = listen.rpartition(':')
    trio.run(serve_deployment, Address(host, int(port)))


@main.command(name='host-list')
@click.option('--listen', default=_ADDRESS, show_default=True)
@click.option('--lag', default=float(0), help='Age of the list in seconds.')
@click.option(
    '--hosts',
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help='JSON array of the hosts that are listed from the start.',
)
def host_list(listen: str, lag: float, hosts: Path | None) -> None:
    """Run the list of hosts."""
    listed: tuple[Host, ...] = ()
    if hosts is not None:
        listed = _read_hosts(hosts)
    handler = HostListHandler(MemoryHostList(lag, listed))
    trio.run(_serve_handler, handler, listen)


@main.command()
@combine(
    click.option('--listen', default=_ADDRESS, show_default=True),
    click.option('--id', 'server', required=True, help='Name of the server.'),
    click.option('--service', required=True),
    click.option('--slots', default=4, show_default=True),
    click.option('--backlog', default=4, show_default=True),
    click.option('--connections', default=130, show_default=True),
    click.option('--checks-grants/--ignores-grants', default=True),
    click.option('--cold-seconds', default=float(0), show_default=True),
    click.option('--report-lag', default=float(0), help='Seconds.'),
    click.option('--reports-idle', is_flag=True),
    click.option('--faulty', is_flag=True, help='Requests may ask for faults.'),
    click.option('--log-path', default='', help='File for the run records.'),
)
def server(listen: str, **options: object) -> None:
    """Run a backend server."""
    settings = msgspec.convert(options, type=BackendSettings)
    trio.run(_serve_server, settings, listen)


def _read_hosts(path: Path) -> tuple[Host, ...]:
    return msgspec.json.decode(path.read_bytes(), type=tuple[Host, ...])


async def _serve_store(listen: str) -> None:
    await _serve_handler(StoreHandler(), listen)


async def _serve_handler(handler: HttpHandler, listen: str) -> None:
    await serve_http(handler, await _open_listeners(listen))


async def _serve_server(settings: BackendSettings, listen: str) -> None:
    state = make_state(settings, SuspendAwareClock())
    await serve_backend(state, await _open_listeners(listen))


async def _open_listeners(listen: str) -> list[trio.SocketListener]:
    """Open the listeners and print their address to standard output."""
    host, _, port = listen.rpartition(':')
    listeners = await trio.open_tcp_listeners(int(port), host=host)
    address = listeners[0].socket.getsockname()
    click.echo(f'listening {address[0]}:{address[1]}')
    return listeners
