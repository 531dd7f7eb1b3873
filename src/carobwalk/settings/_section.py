"""Conversion of one object of the settings, collecting all its errors."""

import difflib
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields, is_dataclass
from reprlib import Repr
from typing import Any, Final

import msgspec

from carobwalk.model import Address
from carobwalk.settings._allowed import describe_allowed, unit_of
from carobwalk.settings._errors import SettingsError, SettingsErrorKind
from carobwalk.settings._leaves import convert_leaf, hints_of

_SHORT: Final = Repr()
_SHORT.maxlevel = 1


class Section:
    """Converts an object to a frozen dataclass.

    Args:
        file: Name of the file, for errors.
        path: Field that holds the object; empty for the whole file.
        errors: Takes the errors found.
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
        """Return the dataclass, or ``None`` after at least one error."""
        if not isinstance(raw, dict):
            self._add(
                '',
                SettingsErrorKind.INVALID,
                _shorten(raw),
                f'an object with {_join_names(target)}',
            )
            return None
        before = len(self._errors)
        self._refuse_unknown(raw, target)
        converted = dict(self._members(raw, target))
        if len(self._errors) > before:
            return None
        return target(**converted)

    def _members(
        self,
        raw: dict[str, Any],
        target: type,
    ) -> Iterator[tuple[str, Any]]:
        hints = hints_of(target)
        for member in fields(target):
            value = raw.get(member.name, MISSING)
            if value is not MISSING:
                yield member.name, self._member(member, value, hints)
            elif _is_required(member):
                allowed = describe_allowed(hints[member.name], member.name)
                missing = SettingsErrorKind.MISSING
                self._add(member.name, missing, 'nothing', allowed)

    def _member(
        self,
        member: 'Field[Any]',
        raw: Any,
        hints: dict[str, Any],
    ) -> Any:
        annotation = hints[member.name]
        if is_dataclass(annotation) and annotation is not Address:
            path = self._join(member.name)
            section = Section(self._file, path, self._errors)
            return section.convert(raw, annotation)  # type: ignore[arg-type]
        try:
            return convert_leaf(raw, annotation)
        except (msgspec.MsgspecError, OverflowError, UnicodeError):
            allowed = describe_allowed(annotation, member.name)
        self._add(
            member.name,
            SettingsErrorKind.INVALID,
            _shorten(raw),
            allowed,
        )
        return None

    def _refuse_unknown(self, raw: dict[str, Any], target: type) -> None:
        known = [member.name for member in fields(target)]
        for name in raw:
            if name not in known:
                allowed = _suggest(name, known) or _join_names(target)
                unknown = SettingsErrorKind.UNKNOWN_NAME
                self._add(name, unknown, _shorten(name), allowed)

    def _add(
        self,
        name: str,
        kind: SettingsErrorKind,
        found: str,
        allowed: str,
    ) -> None:
        self._errors.append(
            SettingsError(
                file=self._file,
                path=self._join(name),
                kind=kind,
                found=found,
                allowed=allowed,
            ),
        )

    def _join(self, name: str) -> str:
        plain = name if name.isprintable() else _shorten(name)
        return '.'.join(part for part in (self._path, plain) if part)


def _is_required(member: 'Field[Any]') -> bool:
    return member.default is MISSING and member.default_factory is MISSING


def _join_names(target: type) -> str:
    return ', '.join(member.name for member in fields(target))


def _shorten(raw: Any) -> str:
    return _SHORT.repr(raw)


def _suggest(name: str, known: list[str]) -> str | None:
    """Return the known name that is meant, with its unit."""
    close = difflib.get_close_matches(name, known, n=1)
    if not close:
        return None
    unit = unit_of(close[0])
    return f'{close[0]} in {unit}' if unit else close[0]
