"""Assignment of a service to a profile."""

from dataclasses import dataclass

from carobwalk.model import ProfileName, ServiceName


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the name of its profile."""

    name: ServiceName
    profile: ProfileName
