"""Clients of the platform's services."""

from dataclasses import dataclass

from carobwalk.http import HttpClient
from carobwalk.settings import Platform
from carobwalk.store import HttpHostList, HttpStore


@dataclass(frozen=True, slots=True)
class Clients:
    """Clients that the parts of a process share.

    Args:
        http: Sender of small HTTP requests.
        store: The platform's key-value service.
        host_list: The platform's list of hosts.
    """

    http: HttpClient
    store: HttpStore
    host_list: HttpHostList


def connect_platform(platform: Platform) -> Clients:
    """Return clients; connections are opened when they are needed."""
    http = HttpClient()
    timeout = platform.timeout_seconds
    return Clients(
        http=http,
        store=HttpStore(http, platform.store, timeout),
        host_list=HttpHostList(http, platform.host_list, timeout),
    )
