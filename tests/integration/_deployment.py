"""Entry, dispatcher and backend server in one event loop."""

import random
from dataclasses import dataclass

import trio
from result import Ok, Result

from carobwalk.app._placement_forwarder import PlacementForwarder
from carobwalk.dispatch import DispatchContext, DispatchPool
from carobwalk.entry import Classifier, EntryLimits, EntryServer, Router
from carobwalk.entry._request_observer import RequestEnded
from carobwalk.events import HybridClock, NullEventLog
from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    FenceToken,
    Key,
    Placement,
    ProcessId,
    ProfileName,
    Rank,
    RegionName,
    ServerId,
    ServiceName,
    ShardNumber,
    SuspendAwareClock,
)
from carobwalk.ownership import NoLease, NoPlacement
from carobwalk.peer import PeerHub, TopicRegistry
from carobwalk.profiles import Catalogue, Profile, Service
from standins.backend import (
    BackendSettings,
    BackendState,
    make_state,
    serve_backend,
)
from tests.integration._faulty_link import FaultyLink

SERVICE = ServiceName('claims-ledger')
TOKEN = FenceToken(1, 1)
BREAK_PROBABILITY = 0.005
MAX_DELAY_SECONDS = 0.003
TIME_LIMIT_SECONDS = 20
_PROFILE = Profile(
    name=ProfileName('claims'),
    slots=8,
    time_limits=dict.fromkeys(Rank, TIME_LIMIT_SECONDS),
)
_CATALOGUE = Catalogue(
    revision=1,
    profiles_by_name={_PROFILE.name: _PROFILE},
    services_by_name={SERVICE: Service(SERVICE, _PROFILE.name)},
)


class _PermissiveLeases:
    """Leases that authorise every send."""

    def authorise(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> Result[FenceToken, NoLease]:
        return Ok(TOKEN)

    def held_since(
        self,
        server: ServerId,
        service: ServiceName,
        key: Key | None,
    ) -> float:
        return 0


@dataclass(frozen=True, slots=True)
class _SinglePlacement:
    """Shard map in which one server owns all keys."""

    placement: Placement

    def locate(
        self,
        service: ServiceName,
        key: Key,
    ) -> Result[Placement, NoPlacement]:
        return Ok(self.placement)

    def candidates(
        self,
        service: ServiceName,
    ) -> Result[tuple[Placement, ...], NoPlacement]:
        return Ok((self.placement,))


class _NullObserver:
    """Observer that ignores all requests."""

    def observe(self, ended: RequestEnded) -> None:
        """Ignore the request."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """Running components that a test accesses.

    Args:
        entry: Address at which the entry accepts requests of callers.
        state: State of the backend server.
        links: Faulty links from dispatcher to backend server and from entry
            to dispatcher.
    """

    entry: Address
    state: BackendState
    links: tuple[FaultyLink, ...]


async def start_deployment(nursery: trio.Nursery, seed: int) -> Deployment:
    """Start all components in a nursery.

    Args:
        nursery: Nursery that all tasks run in.
        seed: Seed of the delays and breaks of the links.
    """
    settings = BackendSettings(
        server=ServerId('server-1'),
        service=SERVICE,
        slots=8,
        checks_grants=False,
        faulty=True,
    )
    state = make_state(settings, SuspendAwareClock())
    listeners = await _listen()
    nursery.start_soon(serve_backend, state, listeners)
    server_link = _make_link(listeners, random.Random(seed))
    server = _endpoint('server-1', await nursery.start(server_link.serve))
    pool = DispatchPool(
        DispatchContext(
            leases=_PermissiveLeases(),
            catalogue=_read_catalogue,
            clock=SuspendAwareClock(),
            events=NullEventLog(),
        ),
    )
    await nursery.start(pool.run)
    listeners = await _listen()
    await nursery.start(_make_hub('dispatcher').run, listeners, pool)
    peer_link = _make_link(listeners, random.Random(seed + 1))
    peer = _endpoint('dispatcher', await nursery.start(peer_link.serve))
    placement = Placement(server, peer, ShardNumber(1), TOKEN)
    entry = await _start_entry(nursery, placement, pool)
    return Deployment(entry, state, (server_link, peer_link))


async def _start_entry(
    nursery: trio.Nursery,
    placement: Placement,
    pool: DispatchPool,
) -> Address:
    hub = _make_hub('entry')
    await nursery.start(hub.run, await _listen(), pool)
    entry = EntryServer(
        Classifier(ProcessId('entry'), _read_catalogue),
        Router(
            _SinglePlacement(placement),
            PlacementForwarder(ProcessId('entry'), pool, hub),
            _choose_first,
        ),
        _NullObserver(),
        EntryLimits(),
    )
    listeners = await _listen()
    nursery.start_soon(entry.run, listeners)
    return _address_of(listeners)


def _make_link(
    listeners: list[trio.SocketListener],
    generator: random.Random,
) -> FaultyLink:
    return FaultyLink(
        target=_address_of(listeners),
        generator=generator,
        break_probability=BREAK_PROBABILITY,
        max_delay=MAX_DELAY_SECONDS,
    )


def _make_hub(name: str) -> PeerHub:
    own = _endpoint(name, Address('127.0.0.1', 1))
    return PeerHub(own, HybridClock(), TopicRegistry())


def _endpoint(name: str, address: Address) -> Endpoint:
    region = RegionName('port-of-spain')
    return Endpoint(name, address, region, DataCentreName('port-of-spain-a'))


async def _listen() -> list[trio.SocketListener]:
    return await trio.open_tcp_listeners(0, host='127.0.0.1')


def _address_of(listeners: list[trio.SocketListener]) -> Address:
    return Address('127.0.0.1', listeners[0].socket.getsockname()[1])


def _read_catalogue() -> Catalogue:
    return _CATALOGUE


def _choose_first(candidates: tuple[Placement, ...]) -> Placement:
    return candidates[0]
