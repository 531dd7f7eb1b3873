"""The configuration in force at a process, kept up to date."""

import trio
from result import Err

from carobwalk.model import Endpoint, ProcessId
from carobwalk.profiles._catalogue import Catalogue
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles.spread._fleet_status import FleetStatus, ProcessStatus
from carobwalk.profiles.spread._follower_parts import FollowerParts
from carobwalk.profiles.spread._held_configuration import HeldConfiguration
from carobwalk.profiles.spread._joining import Joining
from carobwalk.profiles.spread._neighbour_tasks import NeighbourTasks
from carobwalk.profiles.spread._peer_exchange import PeerExchange
from carobwalk.profiles.spread._store_watch import StoreWatch

_SURVEY_TASKS = 64


class ConfigurationFollower:
    """Keeps the configuration of this process at the accepted revision.

    A new revision comes from the writer's process, from the few processes
    that watch the store, or from a peer, and is passed on to neighbours.

    Args:
        parts: Parts of the process.
    """

    def __init__(self, parts: FollowerParts) -> None:
        self._parts = parts
        self._held = HeldConfiguration()
        self._exchange = PeerExchange(parts, self._held)
        self._watch = StoreWatch(parts, self._held, self._exchange)
        self._neighbours = NeighbourTasks(parts, self._held, self._exchange)
        self._joining = Joining(
            parts,
            self._held,
            self._exchange,
            self._watch,
        )

    async def run(self) -> None:
        """Join and follow until cancelled."""
        await self._joining.run()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch.watch)
            nursery.start_soon(self._watch.sweep)
            nursery.start_soon(self._neighbours.run)

    @property
    def has_joined(self) -> bool:
        """Whether this process knows what is in force, if anything is."""
        return self._held.joined

    def current(self) -> Catalogue:
        """Return the catalogue in force; its revision never falls."""
        return self._held.catalogue

    def configuration(self) -> Configuration:
        """Return the configuration in force, as operators write it."""
        if self._held.joined:
            return self._held.configuration
        return Configuration()

    def known_revision(self) -> int:
        """Return the highest revision whose content this process saw.

        It is a lower bound of what the store must hold. What peers only
        mentioned does not count, as it can't be checked.
        """
        return self._held.configuration.revision

    async def wait_above(self, revision: int) -> None:
        """Wait until a higher revision is in force at this process."""
        await self._held.wait_above(revision)

    def adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force that this process has just written.

        Args:
            configuration: Configuration as the store accepted it.
        """
        self._exchange.accept(configuration, 'writer')

    async def survey(self) -> FleetStatus:
        """Ask every known process for the revision in force at it."""
        found: list[ProcessStatus] = [
            ProcessStatus(
                ProcessId(self._parts.own.name),
                self._parts.own.data_centre,
                self._held.revision,
            ),
        ]
        limiter = trio.CapacityLimiter(_SURVEY_TASKS)
        async with trio.open_nursery() as nursery:
            for peer in self._parts.other_peers():
                nursery.start_soon(self._ask, peer, limiter, found)
        found.sort(key=lambda status: status.process)
        return FleetStatus(self._held.heard, tuple(found))

    async def _ask(
        self,
        peer: Endpoint,
        limiter: trio.CapacityLimiter,
        found: list[ProcessStatus],
    ) -> None:
        async with limiter:
            answered = await self._exchange.ask(peer, wants_content=False)
        process = ProcessId(peer.name)
        if isinstance(answered, Err):
            status = ProcessStatus(
                process,
                peer.data_centre,
                None,
                answered.err_value.detail,
            )
        else:
            status = ProcessStatus(
                process,
                peer.data_centre,
                answered.ok_value,
            )
        found.append(status)
