"""Contract of the orders by which backend servers get and lose keys."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.directory import BackendServer


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Gives or renews a range of keys for a time.

    Args:
        first: First key.
        last: Last key.
        fence: Fencing token.
        hold: Time in seconds, counted by the server from the arrival.
        handover: State that the last owner handed over, empty for none.
    """

    first: int
    last: int
    fence: int
    hold: float
    handover: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """Takes a range of keys back.

    Args:
        first: First key.
        last: Last key.
        fence: Fencing token of the grant.
    """

    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The server saw a higher fencing token, or can't read the order."""

    detail: str


@dataclass(frozen=True, slots=True)
class OrderUnsent:
    """Nothing of the order reached the server.

    Args:
        detail: What went wrong.
        is_refused: Whether nothing listens at the server's address.
    """

    detail: str
    is_refused: bool


@dataclass(frozen=True, slots=True)
class OrderUnanswered:
    """The order may be carried out, also seconds later."""

    detail: str


OrderFailure = OrderRefused | OrderUnsent | OrderUnanswered


class OrderChannel(Protocol):
    """Sends orders to backend servers, each once."""

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
        """Send a release; the answer comes when work on the keys ended.

        Returns:
            The state handed over, empty for none.
        """
