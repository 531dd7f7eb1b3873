"""Rules of the product that can be switched off in a router under test.

A soak that doesn't find these can't find anything.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from carobwalk.gateway import Forwarder, GatewayServer
from carobwalk.gateway import _forwarder as forwarder_module
from carobwalk.gateway import _refusals as refusals
from carobwalk.keyspace import KeyTimes
from carobwalk.routing import ActiveRoutes, RouteTable


@dataclass(frozen=True, slots=True)
class Plant:
    """A replaced part of the product.

    Args:
        owner: Class or module of the part.
        name: Name of the part.
        replacement: What takes its place.
    """

    owner: Any
    name: str
    replacement: Callable[..., object]

    def apply(self) -> None:
        """Replace the part in this process."""
        setattr(self.owner, self.name, self.replacement)


def _may_always_repeat(*_arguments: object) -> bool:
    return True


def _no_time(*_arguments: object) -> float:
    return 0


def _never_run(outcome: object, _progress: object) -> object:
    return refusals.not_run(str(outcome), 0)


async def _close_at_once(*_arguments: object) -> bool:
    return True


def _take_any(routes: ActiveRoutes, configuration: Any, _at: int) -> None:
    routes.table = RouteTable(configuration)


PLANTED_BY_NAME: Final[Mapping[str, Plant]] = MappingProxyType(
    {
        'cuts-on-stop': Plant(GatewayServer, 'close', _close_at_once),
        'false-refusals': Plant(forwarder_module, '_final_reply', _never_run),
        'forgets-grants': Plant(KeyTimes, 'latest_end', _no_time),
        'repeats-all': Plant(Forwarder, '_may_repeat', _may_always_repeat),
        'versions-fall': Plant(ActiveRoutes, 'offer', _take_any),
    },
)
