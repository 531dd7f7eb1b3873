"""Response bodies about profiles, services and writes."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Any

from carobwalk.profiles import Change, ServiceEffect


@unique
class Source(StrEnum):
    """Where an answer comes from.

    While the store does not answer, reads show what is in force at the
    process that answers, which may be behind.
    """

    STORE = 'store'
    IN_FORCE = 'in-force'


@dataclass(frozen=True, slots=True)
class ProfileView:
    """A profile.

    Args:
        name: Its name.
        revision: Revision that last changed it; also the ETag.
        fields: Fields that it sets itself, and its parent.
        resolved: All fields with inherited values and defaults.
        services: Services that run under it.
        children: Profiles that inherit from it.
        source: Where the answer comes from.
    """

    name: str
    revision: int
    fields: Mapping[str, Any]
    resolved: Mapping[str, Any]
    services: tuple[str, ...]
    children: tuple[str, ...]
    source: Source


@dataclass(frozen=True, slots=True)
class ProfileSummary:
    """A line of the list of profiles."""

    name: str
    revision: int
    parent: str | None
    services: int


@dataclass(frozen=True, slots=True)
class ProfileList:
    """All profiles by name.

    Args:
        revision: Revision of the configuration; also the ETag.
        profiles: The profiles.
        source: Where the answer comes from.
    """

    revision: int
    profiles: tuple[ProfileSummary, ...]
    source: Source


@dataclass(frozen=True, slots=True)
class ServiceView:
    """A service and its profile; the revision is also the ETag."""

    name: str
    revision: int
    profile: str
    source: Source


@dataclass(frozen=True, slots=True)
class ServiceList:
    """All services by name; the revision is also the ETag."""

    revision: int
    services: tuple[ServiceView, ...]
    source: Source


@dataclass(frozen=True, slots=True)
class HistoryView:
    """A page of the history, newest first.

    Args:
        changes: The changes.
        next_before: Value of ``before`` for the next page, if there is one.
    """

    changes: tuple[Change, ...]
    next_before: int | None


@dataclass(frozen=True, slots=True)
class WriteView:
    """A write that was accepted.

    Args:
        outcome: Always ``accepted``.
        revision: Revision at which it is in the configuration.
        write_id: Identity of the write.
        repeated: Whether the write had been accepted before, or nothing was
            left to change.
        change: The entry of the history, if it is known.
    """

    outcome: str
    revision: int
    write_id: str
    repeated: bool
    change: Change | None


@dataclass(frozen=True, slots=True)
class PreviewView:
    """A write that would be accepted, as of a dry run.

    Args:
        outcome: Always ``dry-run``.
        revision: Revision at which it would be in the configuration.
        change: The entry of the history; absent if nothing would change.
        effects: Services that would run differently, and how.
    """

    outcome: str
    revision: int
    change: Change | None
    effects: tuple[ServiceEffect, ...]
