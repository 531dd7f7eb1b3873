"""Effects of orders on simulated backend servers, and their checks."""

from collections.abc import Mapping
from dataclasses import dataclass

import trio

from carobwalk.directory import BackendServer
from carobwalk.keyspace import Grant, Release
from carobwalk.model import ServerId
from standins.platform._fence_record import FenceRecord
from standins.platform._key_holder import KeyHolder


@dataclass(frozen=True, slots=True)
class OrderEntry:
    """One step of an order.

    Args:
        at: Time of the event loop in seconds.
        first: First key.
        last: Last key, inclusive.
        text: What happened.
    """

    at: float
    first: int
    last: int
    text: str


@dataclass(frozen=True, slots=True)
class ArrivedGrant:
    """A grant that has arrived at a server.

    Args:
        server: Server that it was sent to.
        holder: Keys of the incarnation that it arrived at.
        order: The grant.
        expires_at: Time of the event loop at which it expires, in seconds.
    """

    server: BackendServer
    holder: KeyHolder
    order: Grant
    expires_at: float


class OrderEffects:
    """Applies orders to servers and checks who holds the keys.

    Args:
        keys: Keys that are checked.
    """

    def __init__(self, keys: tuple[int, ...]) -> None:
        self.holders_by_id: dict[ServerId, KeyHolder] = {}
        self.violations: list[str] = []
        self.fences = FenceRecord(keys)
        self.journal: list[OrderEntry] = []
        self.grants = 0
        self._keys = keys

    def arrive(self, server: BackendServer, order: Grant) -> ArrivedGrant:
        """Return a grant that arrives now; its duration starts to count."""
        holder = self.holders_by_id[server.id]
        self.grants += 1
        expires_at = trio.current_time() + holder.real_seconds(order.hold)
        return ArrivedGrant(server, holder, order, expires_at)

    def apply(self, grant: ArrivedGrant) -> bool:
        """Apply a grant; return whether the server accepted it."""
        order = grant.order
        bounds = (order.first, order.last)
        is_accepted = grant.holder.grant(
            bounds, order.fence, grant.expires_at, self._keys
        )
        if not is_accepted:
            self.note(grant.server, order, 'grant refused')
            return False
        text = f'grant applied until {grant.expires_at:.3f}'
        self.note(grant.server, order, text)
        is_running = self.holders_by_id[grant.server.id] is grant.holder
        now = trio.current_time()
        if is_running and grant.expires_at > now:
            self.fences.record(grant.server.id, bounds, order.fence)
        self.violations.extend(
            find_double_owners(self.holders_by_id, self._keys, now),
        )
        return True

    async def apply_after(self, delay: float, grant: ArrivedGrant) -> None:
        """Apply a grant after some seconds."""
        await trio.sleep(delay)
        self.apply(grant)

    def release(
        self, server: BackendServer, holder: KeyHolder, order: Release
    ) -> None:
        """Apply a release."""
        holder.release(order.first, order.last)
        self.note(server, order, 'release applied')

    async def release_after(
        self,
        delay: float,
        server: BackendServer,
        holder: KeyHolder,
        order: Release,
    ) -> None:
        """Apply a release after some seconds."""
        await trio.sleep(delay)
        self.release(server, holder, order)

    def note(
        self,
        server: BackendServer,
        order: Grant | Release,
        text: str,
    ) -> None:
        """Record a step of an order."""
        running = self.holders_by_id[server.id].born
        line = (
            f'{server.id} born {server.born} (running: {running}) '
            f'fence {order.fence} {text}'
        )
        now = trio.current_time()
        self.journal.append(OrderEntry(now, order.first, order.last, line))


def find_double_owners(
    holders_by_id: Mapping[ServerId, KeyHolder],
    keys: tuple[int, ...],
    now: float,
) -> list[str]:
    """Return a line for each key that several servers hold."""
    doubles = find_double_keys(holders_by_id, keys, now)
    return [
        f'{now:.3f} key {key}: {list(owners)}'
        for key, owners in doubles.items()
    ]


def find_double_keys(
    holders_by_id: Mapping[ServerId, KeyHolder],
    keys: tuple[int, ...],
    now: float,
) -> dict[int, tuple[ServerId, ...]]:
    """Return the owners of each key that several servers hold."""
    doubles = {}
    for key in keys:
        owners = tuple(
            server
            for server, holder in holders_by_id.items()
            if holder.holds(key, now)
        )
        if len(owners) > 1:
            doubles[key] = owners
    return doubles
