"""What happens to a request first, by the facts of its servers."""

from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter

from carobwalk.gateway.choice import NoTarget
from carobwalk.gateway.explain._facts import (
    LASTING_RULES,
    Outcome,
    OwnerFacts,
    Rule,
    ServerFacts,
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What happens to a request first.

    Args:
        outcome: Whether it is sent, waits or is refused.
        detail: Reason for it.
        seconds: Time until it can be sent or retried, ``None`` if unknown.
    """

    outcome: Outcome
    detail: str
    seconds: float | None = None


def unkeyed_verdict(
    servers: Sequence[ServerFacts], excluded: NoTarget | None, waiting: int
) -> Verdict:
    """Return what happens to a request that any server can run.

    Args:
        servers: Servers of the service.
        excluded: Refusal by the locations of all servers, if so.
        waiting: Requests that wait for the service.
    """
    free = [server for server in servers if not server.excluded]
    if free and waiting:
        return Verdict(Outcome.WAIT, 'other requests wait for capacity')
    if free:
        best = min(free, key=attrgetter('cost'))
        return Verdict(Outcome.SEND, f'least cost now: {best.server}', 0)
    return _wait_for_capacity(servers) or _no_server(servers, excluded)


def _wait_for_capacity(servers: Sequence[ServerFacts]) -> Verdict | None:
    """Return what a request waits for, ``None`` if for nothing."""
    usable = [
        server
        for server in servers
        if not LASTING_RULES.intersection(server.excluded)
    ]
    if any(server.in_flight for server in usable):
        return Verdict(Outcome.WAIT, 'no backend server has capacity now')
    gates = [server.gate_seconds[1] for server in usable]
    if any(gates):
        detail = 'the backend servers limit their requests'
        return Verdict(Outcome.WAIT, detail, min(filter(None, gates)))
    return None


def _no_server(
    servers: Sequence[ServerFacts], excluded: NoTarget | None
) -> Verdict:
    drawn = sum(server.chance or 0 for server in servers)
    if drawn:
        detail = f'only cold servers; sent with a chance of {drawn:.3g}'
        return Verdict(Outcome.REFUSE, detail)
    if excluded is not None:
        return _refused(excluded)
    return Verdict(Outcome.REFUSE, 'no backend server is ready')


def keyed_verdict(
    servers: Sequence[ServerFacts],
    owner: OwnerFacts | None,
    excluded: NoTarget | None,
    waiting: int,
) -> Verdict:
    """Return what happens to a request that only the owner can run.

    Args:
        servers: Servers of the service.
        owner: Owner of the key.
        excluded: Refusal by the locations of all servers, if so.
        waiting: Requests that wait for the owner.
    """
    facts = next((each for each in servers if _is_owner(each, owner)), None)
    if owner is None or facts is None:
        if excluded is not None:
            return _refused(excluded)
        return Verdict(Outcome.WAIT, 'the key has no owner now')
    if Rule.OUTSIDE in facts.excluded:
        detail = 'the owner of the key is not in the allowed regions'
        return Verdict(Outcome.REFUSE, detail)
    return _verdict_of_owner(owner, facts, waiting)


def _verdict_of_owner(
    owner: OwnerFacts, facts: ServerFacts, waiting: int
) -> Verdict:
    if facts.excluded:
        reasons = ', '.join(facts.excluded)
        seconds = max(facts.gate_seconds[1], facts.ejected_seconds)
        return Verdict(
            Outcome.WAIT, f'the owner of the key: {reasons}', seconds or None
        )
    if waiting:
        return Verdict(Outcome.WAIT, 'other requests wait for the owner')
    if owner.admitted < 1:
        detail = f'owner {owner.server}, with a chance of {owner.admitted:.3g}'
        return Verdict(Outcome.SEND, detail, 0)
    return Verdict(Outcome.SEND, f'owner {owner.server}', 0)


def _refused(excluded: NoTarget) -> Verdict:
    return Verdict(Outcome.REFUSE, excluded.detail, excluded.retry_after)


def _is_owner(server: ServerFacts, owner: OwnerFacts | None) -> bool:
    return owner is not None and server.server == owner.server
