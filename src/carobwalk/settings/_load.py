"""Loading and validation of settings files."""

from pathlib import Path
from typing import Any, Final, TypeVar

import json5
from result import Err, Ok, Result

from carobwalk.settings._checks import find_contradictions
from carobwalk.settings._errors import (
    SettingsError,
    SettingsErrorKind,
    SettingsErrors,
)
from carobwalk.settings._gateway import GatewaySettings
from carobwalk.settings._section_converter import SectionConverter
from carobwalk.settings._settings import Settings

MAX_FILE_BYTES: Final = 65_536

_SettingsT = TypeVar('_SettingsT')

_MAX_NESTING_DEPTH: Final = 32
_OPENING_BRACKETS: Final = frozenset('[{')
_CLOSING_BRACKETS: Final = frozenset(']}')
_SYNTAX_DESCRIPTION: Final = 'JSON with comments, each name once in its object'


def load_settings(path: Path | str) -> Result[Settings, SettingsErrors]:
    """Load and validate a settings file.

    Args:
        path: File of JSON with comments, in UTF-8.

    Returns:
        The settings, or all errors of the file.
    """
    return _read(str(path)).and_then(
        lambda content: parse_settings(content, str(path)),
    )


def load_gateway_settings(
    path: Path | str,
) -> Result[GatewaySettings, SettingsErrors]:
    """Load and validate the settings of a process on the users' platform.

    Args:
        path: File of JSON with comments, in UTF-8.

    Returns:
        The settings, or all errors of the file.
    """
    file = str(path)
    raw = _read(file).and_then(lambda content: _parse(content, file))
    return raw.and_then(
        lambda raw_settings: _convert(raw_settings, file, GatewaySettings),
    )


def parse_settings(
    content: bytes,
    file: str,
) -> Result[Settings, SettingsErrors]:
    """Validate the content of a settings file.

    Args:
        content: Content of the file.
        file: Name of the file, as shown in error messages.

    Returns:
        The settings, or all errors of the file.
    """
    converted = _parse(content, file).and_then(
        lambda raw: _convert(raw, file, Settings),
    )
    return converted.and_then(
        lambda settings: _check_contradictions(settings, file),
    )


def _read(file: str) -> Result[bytes, SettingsErrors]:
    try:
        with Path(file).open('rb') as stream:
            return Ok(stream.read(MAX_FILE_BYTES + 1))
    except (OSError, ValueError) as error:
        return _build_error(
            file,
            SettingsErrorKind.UNREADABLE,
            str(error),
            'a file',
        )


def _parse(content: bytes, file: str) -> Result[Any, SettingsErrors]:
    unreadable = SettingsErrorKind.UNREADABLE
    if len(content) > MAX_FILE_BYTES:
        allowed = f'at most {MAX_FILE_BYTES} bytes'
        return _build_error(file, unreadable, 'a longer file', allowed)
    try:
        text = content.decode('utf-8')
    except UnicodeDecodeError as error:
        return _build_error(file, unreadable, str(error), 'text in UTF-8')
    return _parse_text(text, file)


def _parse_text(text: str, file: str) -> Result[Any, SettingsErrors]:
    syntax = SettingsErrorKind.SYNTAX
    if _bound_nesting_depth(text) > _MAX_NESTING_DEPTH:
        allowed = f'at most {_MAX_NESTING_DEPTH} levels of brackets'
        return _build_error(file, syntax, 'deeper nesting', allowed)
    try:
        return Ok(json5.loads(text, allow_duplicate_keys=False))
    except (ValueError, RecursionError) as error:
        return _build_error(file, syntax, str(error), _SYNTAX_DESCRIPTION)


def _bound_nesting_depth(text: str) -> int:
    """Return an upper bound of the nesting depth.

    Brackets inside strings are counted too, so it may be too high.
    """
    depth = 0
    deepest = 0
    for character in text:
        if character in _OPENING_BRACKETS:
            depth += 1
            deepest = max(deepest, depth)
        elif character in _CLOSING_BRACKETS:
            depth = max(depth - 1, 0)
    return deepest


def _convert(
    raw: Any,
    file: str,
    target: type[_SettingsT],
) -> Result[_SettingsT, SettingsErrors]:
    errors: list[SettingsError] = []
    settings = SectionConverter(file, '', errors).convert(raw, target)
    if settings is None:
        return Err(SettingsErrors(tuple(errors)))
    return Ok(settings)


def _check_contradictions(
    settings: Settings,
    file: str,
) -> Result[Settings, SettingsErrors]:
    errors = [
        SettingsError(
            file=file,
            path=contradiction.path,
            kind=SettingsErrorKind.CONTRADICTION,
            found=contradiction.found,
            allowed=contradiction.allowed,
        )
        for contradiction in find_contradictions(settings)
    ]
    return Err(SettingsErrors(tuple(errors))) if errors else Ok(settings)


def _build_error(
    file: str,
    kind: SettingsErrorKind,
    found: str,
    allowed: str,
) -> Err[SettingsErrors]:
    printable = found.encode('utf-8', 'backslashreplace').decode('utf-8')
    line = ' '.join(printable.split())
    error = SettingsError(file, '', kind, line, allowed)
    return Err(SettingsErrors((error,)))
