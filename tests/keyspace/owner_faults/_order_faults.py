"""Faults of the orders that a server gets."""

from tests.keyspace.owner_faults._kinds import server_fault
from tests.keyspace.owner_faults._target import (
    FaultTarget,
    ServerUnderFault,
    pause,
)


@server_fault('no-connection')
async def no_connection(target: FaultTarget, server: ServerUnderFault) -> None:
    """New connections to a server do not open."""
    server.faults.opens_no_connections = True
    await pause(target, 0.2, 3)
    server.faults.opens_no_connections = False


@server_fault('resets-connections')
async def resets_connections(
    target: FaultTarget, server: ServerUnderFault
) -> None:
    """A full server lives, and resets new connections by turns."""
    for _ in range(target.generator.randint(1, 4)):
        server.holder.resets_connections = True
        await pause(target, 0.2, 4)
        server.holder.resets_connections = False
        await pause(target, 0.1, 1)


@server_fault('silent')
async def silent(target: FaultTarget, server: ServerUnderFault) -> None:
    """Orders to a server are lost on the way."""
    server.holder.is_unresponsive = True
    await pause(target, 0.2, 4)
    server.holder.is_unresponsive = False


@server_fault('slow-orders')
async def slow_orders(target: FaultTarget, server: ServerUnderFault) -> None:
    """Orders arrive late, at most 0.4 s after their sender's timeout."""
    server.faults.order_delay = target.generator.uniform(0.05, 0.75)
    await pause(target, 0.2, 3)
    server.faults.order_delay = 0


@server_fault('late-grants')
async def late_grants(target: FaultTarget, server: ServerUnderFault) -> None:
    """Grants go unanswered and are applied seconds later."""
    server.holder.apply_delay = target.generator.uniform(0.3, 9)
    await pause(target, 0.2, 2)
    server.holder.apply_delay = None


@server_fault('lost-answers')
async def lost_answers(target: FaultTarget, server: ServerUnderFault) -> None:
    """Orders are applied, their answers lost, and some are repeated late."""
    server.faults.loses_answers = True
    if target.generator.randrange(2):
        server.faults.repeat_delay = target.generator.uniform(0.3, 9)
    await pause(target, 0.2, 2)
    server.faults.loses_answers = False
    server.faults.repeat_delay = None


@server_fault('late-releases')
async def late_releases(target: FaultTarget, server: ServerUnderFault) -> None:
    """Releases go unanswered and are applied seconds later."""
    server.faults.release_delay = target.generator.uniform(0.3, 6)
    await pause(target, 0.5, 3)
    server.faults.release_delay = None


@server_fault('long-work')
async def long_work(target: FaultTarget, server: ServerUnderFault) -> None:
    """Releases are answered when long work has ended."""
    server.faults.work_seconds = target.generator.uniform(0.1, 1.4)
    await pause(target, 1, 4)
    server.faults.work_seconds = 0
