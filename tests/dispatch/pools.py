"""Pools of dispatchers under test, and what their calls end with."""

from collections.abc import Awaitable, Callable
from random import Random

import trio
from result import Err, Result

from carobwalk.dispatch import DispatchContext, DispatchPool
from carobwalk.events import NullEventLog
from carobwalk.model import (
    Call,
    Completion,
    Failure,
    FailureKind,
    Outcome,
    ProfileName,
    TrioClock,
)
from carobwalk.profiles import Catalogue, Profile, Service
from tests.dispatch.calls import PLACEMENT, SERVICE
from tests.dispatch.fakes import FakeLeases, ListSink
from tests.dispatch.scripted_upstream import ScriptedUpstream

PROFILE = Profile(name=ProfileName('usual'))


def catalogue_of(profile: Profile) -> Callable[[], Catalogue]:
    """Return a function that returns a catalogue with one service."""
    service = Service(name=SERVICE, profile=profile.name)
    catalogue = Catalogue(
        revision=1,
        profiles_by_name={profile.name: profile},
        services_by_name={SERVICE: service},
    )
    return lambda: catalogue


async def no_broadcast(snapshot: bytes) -> None:
    """Do nothing."""


def context_of(
    leases: FakeLeases | None = None,
    profile: Profile = PROFILE,
    broadcast: Callable[[bytes], Awaitable[None]] = no_broadcast,
) -> DispatchContext:
    """Return the dependencies of a dispatcher under test."""
    return DispatchContext(
        leases=leases or FakeLeases(),
        catalogue=catalogue_of(profile),
        clock=TrioClock(),
        events=NullEventLog(),
        wall_clock=trio.current_time,
        random=Random(1),
        broadcast=broadcast,
    )


def pool_of(
    upstream: ScriptedUpstream,
    context: DispatchContext | None = None,
) -> DispatchPool:
    """Return a pool that uses the scripted server for every placement."""
    return DispatchPool(context or context_of(), lambda *_: upstream)


async def forward(
    pool: DispatchPool,
    call: Call,
    sink: ListSink | None = None,
) -> Result[Completion, Failure]:
    """Forward a call to the server that it is placed on.

    Args:
        pool: Pool under test.
        call: Call to forward.
        sink: Sink of the answer, which is dropped without one.
    """
    return await pool.forward(call, PLACEMENT, sink or ListSink())


def kind_and_outcome(
    result: Result[Completion, Failure],
) -> tuple[FailureKind, Outcome]:
    """Return kind and outcome of a result that must be a failure."""
    assert isinstance(result, Err)
    return result.err_value.kind, result.err_value.outcome
