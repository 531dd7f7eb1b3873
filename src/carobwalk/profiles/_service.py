"""A service and the profile that it runs under."""

from dataclasses import dataclass

from carobwalk.model import ProfileName, ServiceName


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the name of its profile."""

    name: ServiceName
    profile: ProfileName
