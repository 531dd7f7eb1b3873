"""Conversion of a settings section, collecting all its errors."""

import difflib
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields, is_dataclass
from reprlib import Repr
from typing import Any, Final

import msgspec

from carobwalk.model import Address
from carobwalk.settings._allowed import describe_allowed, get_unit
from carobwalk.settings._converters import convert_value, get_field_types
from carobwalk.settings._errors import SettingsError, SettingsErrorKind

_ABBREVIATED_REPR: Final = Repr()
_ABBREVIATED_REPR.maxlevel = 1


class SectionConverter:
    """Converts a parsed JSON object to a frozen dataclass.

    Args:
        file: Name of the file, as shown in error messages.
        path: Path of the field that holds the object; empty for the root.
        errors: List to which the errors found are appended.
    """

    def __init__(
        self,
        file: str,
        path: str,
        errors: list[SettingsError],
    ) -> None:
        self._file = file
        self._path = path
        self._errors = errors

    def convert(self, raw: Any, target: type) -> Any:
        """Return an instance of ``target``, or ``None`` if there are errors."""
        if not isinstance(raw, dict):
            self._add_error(
                '',
                SettingsErrorKind.INVALID,
                _abbreviate(raw),
                f'an object with {_join_field_names(target)}',
            )
            return None
        error_count = len(self._errors)
        self._add_unknown_name_errors(raw, target)
        converted = dict(self._convert_fields(raw, target))
        if len(self._errors) > error_count:
            return None
        return target(**converted)

    def _convert_fields(
        self,
        raw: dict[str, Any],
        target: type,
    ) -> Iterator[tuple[str, Any]]:
        hints = get_field_types(target)
        for member in fields(target):
            value = raw.get(member.name, MISSING)
            if value is not MISSING:
                yield member.name, self._convert_field(member, value, hints)
            elif _is_required(member):
                allowed = describe_allowed(hints[member.name], member.name)
                missing = SettingsErrorKind.MISSING
                self._add_error(member.name, missing, 'nothing', allowed)

    def _convert_field(
        self,
        member: 'Field[Any]',
        raw: Any,
        hints: dict[str, Any],
    ) -> Any:
        annotation = hints[member.name]
        if is_dataclass(annotation) and annotation is not Address:
            path = self._join_path(member.name)
            section = SectionConverter(self._file, path, self._errors)
            return section.convert(raw, annotation)  # type: ignore[arg-type]
        try:
            return convert_value(raw, annotation)
        except (msgspec.MsgspecError, OverflowError, UnicodeError):
            allowed = describe_allowed(annotation, member.name)
        self._add_error(
            member.name,
            SettingsErrorKind.INVALID,
            _abbreviate(raw),
            allowed,
        )
        return None

    def _add_unknown_name_errors(
        self,
        raw: dict[str, Any],
        target: type,
    ) -> None:
        known = [member.name for member in fields(target)]
        for name in raw:
            if name not in known:
                allowed = _suggest_name(name, known) or _join_field_names(
                    target,
                )
                unknown = SettingsErrorKind.UNKNOWN_NAME
                self._add_error(name, unknown, _abbreviate(name), allowed)

    def _add_error(
        self,
        name: str,
        kind: SettingsErrorKind,
        found: str,
        allowed: str,
    ) -> None:
        self._errors.append(
            SettingsError(
                file=self._file,
                path=self._join_path(name),
                kind=kind,
                found=found,
                allowed=allowed,
            ),
        )

    def _join_path(self, name: str) -> str:
        printable = name if name.isprintable() else _abbreviate(name)
        return '.'.join(part for part in (self._path, printable) if part)


def _is_required(member: 'Field[Any]') -> bool:
    return member.default is MISSING and member.default_factory is MISSING


def _join_field_names(target: type) -> str:
    return ', '.join(member.name for member in fields(target))


def _abbreviate(raw: Any) -> str:
    return _ABBREVIATED_REPR.repr(raw)


def _suggest_name(name: str, known: list[str]) -> str | None:
    """Return the most similar known name, with its unit, if any."""
    matches = difflib.get_close_matches(name, known, n=1)
    if not matches:
        return None
    unit = get_unit(matches[0])
    return f'{matches[0]} in {unit}' if unit else matches[0]
