"""Lookup of the owner that a request may be sent to."""

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
from carobwalk.gateway.choice._target import NoTarget
from carobwalk.model import ServiceName

# Fraction of the time to the deadline that a request may wait for an owner.
_MAX_OWNER_WAIT_SHARE: Final = 0.3
# Usual time for a key to get its next owner: the interval at which owners are
# checked again, and the wait proposed to refused callers.
_OWNER_CHANGE_SECONDS: Final = 0.2
_NO_OWNER: Final = 'the key has no owner now'
_OTHER_REGION: Final = 'the owner of the key is not in the allowed regions'
# Time for the keys of a service to move after a change of its regions.
_OTHER_REGION_RETRY_SECONDS: Final = 0.5
_COLD: Final = 'the owner of the key is cold'


class OwnerLookup:
    """Finds the owner of a key, if a request may be sent to it now.

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
        self._owners = owners
        self._loads = loads
        self._candidates = candidates
        self.misdirected = MisdirectedKeys()

    async def find(
        self, service: ServiceName, request: CallerRequest, key: int
    ) -> KeyOwner | NoTarget:
        """Return the owner of a key, ``NoTarget`` if it gets none in time."""
        now = trio.current_time()
        seconds_left = request.deadline - now
        with trio.move_on_at(now + seconds_left * _MAX_OWNER_WAIT_SHARE):
            while True:
                owner = self.current(service, key)
                if owner is not None:
                    return self._checked(request, owner)
                excluded = self._candidates.refusal(service, request)
                if excluded is not None:
                    return excluded
                with trio.move_on_after(_OWNER_CHANGE_SECONDS):
                    await self._owners.wait_for_change(service)
        return self._missing(service, key)

    def _checked(
        self, request: CallerRequest, owner: KeyOwner
    ) -> KeyOwner | NoTarget:
        """Return an owner, or a refusal if it is outside the regions."""
        if self._candidates.is_in_region(request, owner.server):
            return owner
        return NoTarget(_OTHER_REGION, _OTHER_REGION_RETRY_SECONDS)

    def current(self, service: ServiceName, key: int) -> KeyOwner | None:
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

    def _missing(self, service: ServiceName, key: int) -> NoTarget:
        """Return why no owner could be found in time."""
        owner = self._owners.find(service, key)
        if owner and self._loads.warmups.awaits_share(owner.server):
            return self.cold(owner.server)
        return NoTarget(_NO_OWNER, _OWNER_CHANGE_SECONDS)

    def cold(self, server: BackendServer) -> NoTarget:
        """Return the refusal of a request that a cold owner may not get."""
        latency = self._loads.service_latency(server.service)
        seconds = self._loads.warmups.retry_seconds(server, latency)
        return NoTarget(_COLD, seconds)

    def is_current(self, owner: KeyOwner, key: int) -> bool:
        """Return whether an owner still is the one to send a request to."""
        current = self.current(owner.server.service, key)
        return bool(current and _ownership(current) == _ownership(owner))


def _ownership(owner: KeyOwner) -> Ownership:
    return Ownership(owner.server.incarnation, owner.fence)
