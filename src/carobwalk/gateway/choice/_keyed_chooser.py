"""Choice of the backend server that owns a request's key."""

from functools import partial
from typing import Final

import trio

from carobwalk.directory import BackendServer
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._candidate_servers import CandidateServers
from carobwalk.gateway.choice._key_owners import KeyOwner, KeyOwners
from carobwalk.gateway.choice._load_table import LoadTable
from carobwalk.gateway.choice._misdirected_keys import (
    MisdirectedKeys,
    Ownership,
)
from carobwalk.gateway.choice._queue_wait import QueueWait, WaitCauses
from carobwalk.gateway.choice._server_load import ServerLoad
from carobwalk.gateway.choice._target import NoTarget, Target
from carobwalk.model import ServiceName

# Fraction of the time to the deadline that a request may wait for an owner.
_MAX_OWNER_WAIT_SHARE: Final = 0.3
# Usual time for a key to get its next owner: the interval at which owners are
# checked again, and the wait proposed to refused callers.
_OWNER_CHANGE_SECONDS: Final = 0.2
_LIMITED: Final = 'the owner of the key limits its requests'
_NO_OWNER: Final = 'the key has no owner now'
_OTHER_REGION: Final = 'the owner of the key is not in the allowed regions'
# Time for the keys of a service to move after a change of its regions.
_OTHER_REGION_RETRY_SECONDS: Final = 0.5
_COLD: Final = 'the owner of the key is cold'
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
        self._owners = owners
        self._loads = loads
        self.misdirected = MisdirectedKeys()

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
            owner = await self._find_owner(service, request, key)
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
        self.misdirected.record(service, key, ownership)

    async def _find_owner(
        self, service: ServiceName, request: CallerRequest, key: int
    ) -> KeyOwner | NoTarget:
        """Return the owner of a key, ``NoTarget`` if it gets none in time."""
        now = trio.current_time()
        seconds_left = request.deadline - now
        with trio.move_on_at(now + seconds_left * _MAX_OWNER_WAIT_SHARE):
            while True:
                owner = self._current_owner(service, key)
                if owner is not None:
                    return self._checked_owner(request, owner)
                excluded = self._candidates.refusal(service, request)
                if excluded is not None:
                    return excluded
                with trio.move_on_after(_OWNER_CHANGE_SECONDS):
                    await self._owners.wait_for_change(service)
        return self._no_owner(service, key)

    def _checked_owner(
        self, request: CallerRequest, owner: KeyOwner
    ) -> KeyOwner | NoTarget:
        """Return an owner, or a refusal if it is outside the regions."""
        if self._candidates.is_in_region(request, owner.server):
            return owner
        return NoTarget(_OTHER_REGION, _OTHER_REGION_RETRY_SECONDS)

    def _current_owner(self, service: ServiceName, key: int) -> KeyOwner | None:
        """Return the owner that a request for a key may be sent to now."""
        owner = self._owners.find(service, key)
        if owner is None or not owner.is_granted:
            return None
        if self.misdirected.is_refused(service, key, _ownership(owner)):
            return None
        if not self._loads.gates.accepts_keyed(owner.server):
            return None
        if self._loads.warmups.awaits_share(owner.server):
            return None
        load = self._loads.of_keyed(owner.server)
        is_ejected = load.ejected_until > trio.current_time()
        return None if is_ejected else owner

    def _overload_refusal(
        self, server: BackendServer, request: CallerRequest
    ) -> NoTarget | None:
        """Return a refusal by an overload; cold servers have own shares."""
        if self._loads.warmups.is_cold(server):
            return None
        return self._loads.admission.refusal(server, request)

    def _no_owner(self, service: ServiceName, key: int) -> NoTarget:
        """Return why no owner could be found in time."""
        owner = self._owners.find(service, key)
        if owner and self._loads.warmups.awaits_share(owner.server):
            return self._cold(owner.server)
        return NoTarget(_NO_OWNER, _OWNER_CHANGE_SECONDS)

    def _cold(self, server: BackendServer) -> NoTarget:
        latency = self._loads.service_latency(server.service)
        seconds = self._loads.warmups.retry_seconds(server, latency)
        return NoTarget(_COLD, seconds)

    async def _admit(
        self, owner: KeyOwner, request: CallerRequest, key: int
    ) -> Target | NoTarget | None:
        """Wait for capacity, within the allowance of a cold owner."""
        warmups = self._loads.warmups
        if warmups.refuses(owner.server, request):
            return self._cold(owner.server)
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
            return self._cold(owner.server)
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

        is_owner = partial(self._is_current, owner, key)
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

    def _is_current(self, owner: KeyOwner, key: int) -> bool:
        current = self._current_owner(owner.server.service, key)
        return bool(current and _ownership(current) == _ownership(owner))


def _free(server: BackendServer, load: ServerLoad) -> BackendServer | None:
    """Return a server if it has capacity."""
    return server if load.has_capacity else None


def _ownership(owner: KeyOwner) -> Ownership:
    return Ownership(owner.server.incarnation, owner.fence)
