"""The configuration in force at a process."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from carobwalk.model import ProfileName, ServiceName
from carobwalk.profiles._profile import Profile
from carobwalk.profiles._service import Service


@dataclass(frozen=True, slots=True)
class Catalogue:
    """All resolved profiles and services at one revision.

    Args:
        revision: Revision of the configuration, which never falls.
        profiles_by_name: Resolved profiles.
        services_by_name: Services with the names of their profiles.
    """

    revision: int = 0
    profiles_by_name: Mapping[ProfileName, Profile] = field(
        default_factory=dict,
    )
    services_by_name: Mapping[ServiceName, Service] = field(
        default_factory=dict,
    )

    def profile_of(self, name: ServiceName) -> Profile | None:
        """Return the profile that a service runs under, if it is known."""
        service = self.services_by_name.get(name)
        if service is None:
            return None
        return self.profiles_by_name.get(service.profile)
