"""Interface of the orders that grant and revoke keys of backend servers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from carobwalk.directory import BackendServer

MaySend = Callable[[], bool]


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Grants a range of keys for a limited time, or renews the grant.

    Args:
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token.
        hold: Duration in seconds, counted by the server from the arrival.
        handover: State that the previous owner passed on, empty for none.
        may_send: Returns whether the order may still be sent; to be called
            just before its first byte is written.
    """

    first: int
    last: int
    fence: int
    hold: float
    handover: str = ''
    may_send: MaySend = field(default=_always, compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """Revokes a range of keys.

    Args:
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token of the grant that replaces the revoked one.
        may_send: Returns whether the order may still be sent; to be called
            just before its first byte is written.
    """

    first: int
    last: int
    fence: int
    may_send: MaySend = field(default=_always, compare=False)


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The server has seen a higher fencing token, or rejected the order.

    Args:
        detail: Description of the refusal.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class OrderUnsent:
    """No part of the order reached the server.

    Args:
        detail: Description of the failure.
        is_refused: Whether the connection was refused. A server that has too
            many connections refuses further ones as well, so that this is no
            proof of its end.
    """

    detail: str
    is_refused: bool


@dataclass(frozen=True, slots=True)
class OrderUnanswered:
    """The order may or may not be applied, possibly seconds later.

    Args:
        detail: Description of the failure.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class OrderMisdirected:
    """Another server listens at the address, and the order had no effect.

    An address is used again only after its former server has ended.

    Args:
        detail: Description of the failure.
    """

    detail: str


OrderFailure = OrderRefused | OrderUnsent | OrderUnanswered | OrderMisdirected


class OrderChannel(Protocol):
    """Transport for orders to backend servers, without retries."""

    async def grant(
        self,
        server: BackendServer,
        order: Grant,
    ) -> Result[None, OrderFailure]:
        """Send a grant and wait for its answer."""

    async def release(
        self,
        server: BackendServer,
        order: Release,
    ) -> Result[str, OrderFailure]:
        """Send a release and wait until the server has finished its work.

        Returns:
            State for the new owner, empty for none.
        """
