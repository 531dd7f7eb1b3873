"""Effects of a configuration change on services."""

from dataclasses import dataclass

from carobwalk.model import ServiceName
from carobwalk.profiles._catalogue import Catalogue
from carobwalk.profiles._change import FieldChange, compare_fields
from carobwalk.profiles._entity import Fields
from carobwalk.profiles._resolution import PROFILE_FIELD, plain_fields


@dataclass(frozen=True, slots=True)
class ServiceEffect:
    """A service that would run differently.

    Args:
        service: Name of the service.
        fields: Resolved fields that differ, and ``profile`` if it changes.
    """

    service: ServiceName
    fields: tuple[FieldChange, ...]


def compare_services(
    before: Catalogue,
    after: Catalogue,
) -> tuple[ServiceEffect, ...]:
    """Return the services whose resolved fields differ, sorted by name."""
    effects: list[ServiceEffect] = []
    services = before.services_by_name.keys() | after.services_by_name.keys()
    for service in sorted(services):
        fields = compare_fields(
            _fields_of(before, service),
            _fields_of(after, service),
        )
        if fields:
            effects.append(ServiceEffect(service, fields))
    return tuple(effects)


def _fields_of(catalogue: Catalogue, name: ServiceName) -> Fields:
    profile = catalogue.profile_of(name)
    if profile is None:
        return {}
    return {PROFILE_FIELD: profile.name, **plain_fields(profile)}
