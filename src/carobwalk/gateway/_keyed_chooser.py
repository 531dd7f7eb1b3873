"""Choice of the backend server that owns a request's key."""

from typing import Final

import trio

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._key_owners import KeyOwners
from carobwalk.gateway._load_table import LoadTable
from carobwalk.gateway._room_wait import longest_wait
from carobwalk.gateway._target import NoTarget, Target
from carobwalk.model import ServiceName

# Part of the time left that a request may wait for an owner.
_OWNER_WAIT_SHARE: Final = 0.3
_MOVE_SECONDS: Final = 0.2


class KeyedChooser:
    """Finds the owner of a key, and waits for room there.

    Args:
        owners: Map from keys to servers.
        loads: Loads of the servers.
    """

    def __init__(self, owners: KeyOwners, loads: LoadTable) -> None:
        self._owners = owners
        self._loads = loads

    async def choose(
        self,
        service: ServiceName,
        request: CallerRequest,
        key: int,
    ) -> Target | NoTarget:
        """Return the owner of a key with room for the request.

        Args:
            service: Service that runs the request.
            request: The request.
            key: Number of its key.
        """
        now = trio.current_time()
        left = request.deadline - now
        with trio.move_on_at(now + left * _OWNER_WAIT_SHARE):
            server = await self._find_owner(service, key)
            return await self._take_room(server, request)
        return NoTarget('the key has no owner now', _MOVE_SECONDS)

    async def _find_owner(
        self,
        service: ServiceName,
        key: int,
    ) -> BackendServer:
        while True:
            owner = self._owners.find(service, key)
            if owner is not None and owner.is_granted:
                load = self._loads.of_keyed(owner.server)
                if load.suspended_until <= trio.current_time():
                    return owner.server
            with trio.move_on_after(_MOVE_SECONDS):
                await self._owners.wait_for_change(service)

    async def _take_room(
        self,
        server: BackendServer,
        request: CallerRequest,
    ) -> Target | NoTarget:
        load = self._loads.of_keyed(server)
        now = trio.current_time()
        usual = self._loads.usual_latency(server.service)
        latency = load.latency(now, usual)
        wait = len(load.line) * latency / load.limit
        longest = longest_wait(request, now, latency)
        if not load.has_room and wait > longest:
            return NoTarget('the owner of the key is full', wait)
        with trio.move_on_after(longest):
            while not load.has_room:
                await load.line.wait(request.route.rank)
            load.start()
            return Target(server)
        return NoTarget('the owner of the key is full', latency)
