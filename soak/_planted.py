"""Safety rules that can be disabled in a router under test.

Each is a planted bug that the soak has to detect, which checks the soak itself.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from carobwalk.gateway import Forwarder, GatewayServer
from carobwalk.gateway import _refusals as refusals
from carobwalk.gateway.caller._request_handler import RequestHandler
from carobwalk.gateway.choice._send_gates import SendGates
from carobwalk.gateway.upstream import _forwarder as forwarder_module
from carobwalk.keyspace import KeyTimes
from carobwalk.keyspace._grant_ledger import GrantLedger, LedgerState
from carobwalk.routing import ActiveRoutes, RouteTable


@dataclass(frozen=True, slots=True)
class PlantedBug:
    """A replacement that disables a rule of the product.

    Args:
        owner: Class or module whose attribute is replaced.
        name: Name of the attribute.
        replacement: Function that takes its place.
    """

    owner: Any
    name: str
    replacement: Callable[..., object]

    def apply(self) -> None:
        """Replace the attribute in this process."""
        setattr(self.owner, self.name, self.replacement)


def _always_may_repeat(*_arguments: object) -> bool:
    return True


def _zero_end(*_arguments: object) -> float:
    return 0


def _always_not_run(outcome: object, _progress: object) -> object:
    return refusals.not_run(str(outcome), 0)


async def _close_immediately(*_arguments: object) -> bool:
    return True


def _accept_any(routes: ActiveRoutes, configuration: Any, _at: int) -> None:
    routes.table = RouteTable(configuration)


def _do_nothing(*_arguments: object) -> None:
    """Do nothing."""


def _forget_inherited(ledger: GrantLedger, _reported: LedgerState) -> None:
    ledger.inherited.held_until = 0
    ledger.inherited.unanswered_until = 0


PLANTED_BY_NAME: Final[Mapping[str, PlantedBug]] = MappingProxyType(
    {
        'cuts-on-stop': PlantedBug(GatewayServer, 'close', _close_immediately),
        'false-refusals': PlantedBug(
            forwarder_module, '_final_reply', _always_not_run
        ),
        'forgets-inherited': PlantedBug(
            GrantLedger, 'inherit', _forget_inherited
        ),
        'forgets-grants': PlantedBug(KeyTimes, 'longest_validity', _zero_end),
        'ignores-notices': PlantedBug(SendGates, 'apply', _do_nothing),
        'repeats-all': PlantedBug(Forwarder, '_may_repeat', _always_may_repeat),
        'silent-answers': PlantedBug(RequestHandler, 'log', _do_nothing),
        'versions-fall': PlantedBug(ActiveRoutes, 'offer', _accept_any),
    },
)
