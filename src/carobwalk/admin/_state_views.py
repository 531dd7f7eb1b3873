"""Response bodies about the state of the running system."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from carobwalk.admin._explanation import OwnershipExplanation
from carobwalk.admin._quarantine import QuarantinedRequest
from carobwalk.profiles import Change, Problem, ProcessStatus


@dataclass(frozen=True, slots=True)
class StatusView:
    """Where the configuration is in force.

    Args:
        revision: Highest revision known to be accepted.
        in_force: Processes that have it in force.
        processes: Processes known.
        lagging: Processes that do not have it, or do not answer.
    """

    revision: int
    in_force: int
    processes: int
    lagging: tuple[ProcessStatus, ...]


@dataclass(frozen=True, slots=True)
class ExplanationView:
    """How a request with a key is served at this entry.

    Args:
        service: The service.
        key: The key.
        revision: Revision of the configuration in force at this entry.
        profile: Name of the service's profile.
        fields: Resolved fields of the profile.
        ownership: Shard, owner and dispatcher, and why.
    """

    service: str
    key: str
    revision: int
    profile: str
    fields: Mapping[str, Any]
    ownership: OwnershipExplanation


@dataclass(frozen=True, slots=True)
class QuarantineList:
    """Requests that are refused because they ended backend servers."""

    requests: tuple[QuarantinedRequest, ...]


@dataclass(frozen=True, slots=True)
class ClearedView:
    """A request that was let out of quarantine."""

    identity: str


@dataclass(frozen=True, slots=True)
class TokenView:
    """A token, shown once.

    Args:
        operator: Name that the history shows.
        token: The token; only its hash is kept.
        revision: Revision that the token is valid from.
    """

    operator: str
    token: str
    revision: int


@dataclass(frozen=True, slots=True)
class ErrorView:
    """A call that was refused, lost to another, or is unknown.

    Args:
        kind: Kind of failure.
        outcome: ``refused``, ``conflict`` or ``unknown``.
        detail: What happened.
        way_out: What the operator can do.
        current_revision: Revision that the write lost to.
        changes: Others' changes that it lost to, or would take back.
        problems: All faults of the configuration that it would make.
        services: Services that use the profile.
        children: Profiles that use the profile.
        write_id: Identity by which an unknown write is settled.
    """

    kind: str
    outcome: str
    detail: str
    way_out: str
    current_revision: int | None = None
    changes: tuple[Change, ...] = ()
    problems: tuple[Problem, ...] = ()
    services: tuple[str, ...] = ()
    children: tuple[str, ...] = ()
    write_id: str | None = None
