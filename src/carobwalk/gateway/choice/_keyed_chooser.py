"""Choice of the backend server that owns a request's key."""

from functools import partial
from typing import Final

import trio

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._candidate_servers import CandidateServers
from carobwalk.gateway.choice._key_owners import KeyOwner, KeyOwners
from carobwalk.gateway.choice._load_table import LoadTable
from carobwalk.gateway.choice._misdirected_keys import Ownership
from carobwalk.gateway.choice._owner_lookup import OwnerLookup
from carobwalk.gateway.choice._queue_wait import QueueWait, WaitCauses
from carobwalk.gateway.choice._server_load import ServerLoad
from carobwalk.gateway.choice._target import NoTarget, Target
from carobwalk.model import ServiceName

_LIMITED: Final = 'the owner of the key limits its requests'
_CAUSES: Final = WaitCauses(
    'the owner of the key is full',
    'too many requests wait for the owner of the key',
)


class KeyedChooser:
    """Finds the owner of a key and waits until it has capacity.

    Args:
        owners: Map from keys to the servers that own them.
        loads: Load of each server.
        candidates: Tells which servers may be sent a request.
    """

    def __init__(
        self,
        owners: KeyOwners,
        loads: LoadTable,
        candidates: CandidateServers,
    ) -> None:
        self._candidates = candidates
        self._loads = loads
        self.lookup = OwnerLookup(owners, loads, candidates)

    async def choose(
        self,
        service: ServiceName,
        request: CallerRequest,
        key: int,
    ) -> Target | NoTarget:
        """Return the owner of a key once it has capacity for the request.

        Args:
            service: Service that runs the request.
            request: The request.
            key: Number of the key of the request.

        Returns:
            The owner, with the request counted in its load, or ``NoTarget``
            if no owner has capacity in time.
        """
        is_admitted = False
        while True:
            owner = await self.lookup.find(service, request, key)
            if isinstance(owner, NoTarget):
                return owner
            if not is_admitted:
                refusal = self._overload_refusal(owner.server, request)
                if refusal is not None:
                    return refusal
                is_admitted = True
            target = await self._admit(owner, request, key)
            if target is not None:
                return target
            # The key has moved during the wait, or the owner refuses it.

    def may_send(self, request: CallerRequest, server: BackendServer) -> bool:
        """Return whether the location of a chosen owner still permits it."""
        return self._candidates.permits(request, server, is_keyed=True)

    def record_misdirected(
        self, service: ServiceName, key: int, target: Target
    ) -> None:
        """Record that the owner of a key refused it as not its own.

        It is not asked for the key again until the key map has changed or its
        grant may have been renewed.
        """
        ownership = Ownership(target.server.incarnation, target.fence)
        self.lookup.misdirected.record(service, key, ownership)

    def _overload_refusal(
        self, server: BackendServer, request: CallerRequest
    ) -> NoTarget | None:
        """Return a refusal by an overload; cold servers have own shares."""
        if self._loads.warmups.is_cold(server):
            return None
        return self._loads.admission.refusal(server, request)

    async def _admit(
        self, owner: KeyOwner, request: CallerRequest, key: int
    ) -> Target | NoTarget | None:
        """Wait for capacity, within the allowance of a cold owner."""
        warmups = self._loads.warmups
        if warmups.refuses(owner.server, request):
            return self.lookup.cold(owner.server)
        target: Target | NoTarget | None = None
        try:
            target = await self._wait_for_capacity(owner, request, key)
        finally:
            load = self._loads.of(owner.server)
            if not isinstance(target, Target) and load.has_capacity:
                load.queue.wake()  # It may have been this request's turn.
        if isinstance(target, Target) and not warmups.admit(
            owner.server, request
        ):
            self._loads.finish(owner.server, request.route.name)
            return self.lookup.cold(owner.server)
        return target

    async def _wait_for_capacity(
        self, owner: KeyOwner, request: CallerRequest, key: int
    ) -> Target | NoTarget | None:
        """Return the owner once it has capacity.

        Returns:
            The owner, ``NoTarget`` if it has no capacity in time, ``None`` if
            it is no longer the owner that the request may be sent to.
        """
        server = owner.server
        load = self._loads.of_keyed(server)
        service_latency = self._loads.service_latency(server.service)
        latency = load.latency(trio.current_time(), service_latency)
        waiting = QueueWait(load.queue, request, latency, _CAUSES)
        load.queue.parts.capacity = load.limit

        is_owner = partial(self.lookup.is_current, owner, key)
        while is_owner():
            pause = self._loads.gates.pause(server)
            if pause and trio.current_time() + pause > waiting.leaves_at:
                return NoTarget(_LIMITED, pause)
            if not pause and load.has_capacity and waiting.may_start(server):
                self._loads.start(server, request.route.name)
                return Target(server, owner.fence)
            refusal = waiting.refusal()
            if refusal is not None:
                return refusal
            if pause:
                await trio.sleep(pause)
            else:
                await waiting.wait(free=_free(server, load), is_valid=is_owner)
        return None


def _free(server: BackendServer, load: ServerLoad) -> BackendServer | None:
    """Return a server if it has capacity."""
    return server if load.has_capacity else None
