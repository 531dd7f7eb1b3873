"""Resolution of a configuration into a catalogue."""

from collections.abc import Mapping
from typing import Any, get_type_hints

import msgspec

from carobwalk.model import ProfileName, ServiceName
from carobwalk.profiles._catalogue import Catalogue
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._entity import Fields, FieldValue
from carobwalk.profiles._inheritance import inherited_fields
from carobwalk.profiles._profile import Profile
from carobwalk.profiles._service import Service
from carobwalk.profiles._subject import SubjectKind

PROFILE_FIELD = 'profile'
_NAME_FIELD = 'name'


def _profile_field_types() -> Mapping[str, Any]:
    types = get_type_hints(Profile)
    types.pop(_NAME_FIELD)
    return types


TYPES_BY_FIELD: Mapping[str, Any] = _profile_field_types()


def convert_field(field: str, value: FieldValue) -> object:
    """Convert a field's JSON value to the type that ``Profile`` declares.

    Raises:
        msgspec.ValidationError: If the value does not match the type.
    """
    return msgspec.convert(value, TYPES_BY_FIELD[field])


def resolve_profile(configuration: Configuration, name: str) -> Profile:
    """Resolve one profile with inherited values and defaults.

    Unknown fields are ignored, because a newer version of the program may
    have written them.

    Args:
        configuration: A valid configuration.
        name: Name of an existing profile.
    """
    fields = inherited_fields(configuration, name)
    known = {
        field: convert_field(field, value)
        for field, value in fields.items()
        if field in TYPES_BY_FIELD
    }
    return Profile(name=ProfileName(name), **known)  # type: ignore[arg-type]


def resolve(configuration: Configuration) -> Catalogue:
    """Resolve all profiles and services of a valid configuration."""
    profiles = {
        ProfileName(name): resolve_profile(configuration, name)
        for name, _ in configuration.of_kind(SubjectKind.PROFILE)
    }
    services = {
        ServiceName(name): Service(
            ServiceName(name),
            ProfileName(entity.fields[PROFILE_FIELD]),
        )
        for name, entity in configuration.of_kind(SubjectKind.SERVICE)
    }
    return Catalogue(configuration.revision, profiles, services)


def plain_fields(profile: Profile) -> Fields:
    """Return a resolved profile's fields as JSON values."""
    fields: dict[str, FieldValue] = msgspec.to_builtins(profile, str_keys=True)
    fields.pop(_NAME_FIELD)
    return fields
