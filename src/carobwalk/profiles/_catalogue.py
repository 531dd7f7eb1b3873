"""Resolved configuration that a process serves requests by."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from carobwalk.model import ProfileName, ServiceName
from carobwalk.profiles._profile import Profile
from carobwalk.profiles._service import Service


@dataclass(frozen=True, slots=True)
class Catalogue:
    """All resolved profiles and services at one revision.

    Args:
        revision: Revision of the configuration that was resolved; 0 before
            any configuration is known.
        profiles_by_name: Profiles with inherited values and defaults filled
            in.
        services_by_name: Services, each with the name of its profile.
    """

    revision: int = 0
    profiles_by_name: Mapping[ProfileName, Profile] = field(
        default_factory=dict,
    )
    services_by_name: Mapping[ServiceName, Service] = field(
        default_factory=dict,
    )

    def profile_of(self, name: ServiceName) -> Profile | None:
        """Return the profile of a service, ``None`` if either is unknown."""
        service = self.services_by_name.get(name)
        if service is None:
            return None
        return self.profiles_by_name.get(service.profile)
