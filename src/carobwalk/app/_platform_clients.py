"""Clients of the platform's services."""

from dataclasses import dataclass

from carobwalk.http import HttpClient
from carobwalk.settings import Platform
from carobwalk.store import HttpHostList, HttpStore


@dataclass(frozen=True, slots=True)
class PlatformClients:
    """Clients that the components of a process share.

    Args:
        http: HTTP client that the other two send their calls with.
        store: Client of the platform's key-value store.
        host_list: Client of the platform's host list.
    """

    http: HttpClient
    store: HttpStore
    host_list: HttpHostList


def build_platform_clients(platform: Platform) -> PlatformClients:
    """Return the clients; connections are opened on first use.

    Args:
        platform: Addresses of the services and the timeout of their calls.
    """
    http = HttpClient()
    timeout = platform.timeout_seconds
    return PlatformClients(
        http=http,
        store=HttpStore(http, platform.store, timeout),
        host_list=HttpHostList(http, platform.host_list, timeout),
    )
