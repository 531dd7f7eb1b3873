"""Reading of a settings file."""

from pathlib import Path
from typing import Any, Final

import json5
from result import Err, Ok, Result

from carobwalk.settings._checks import find_contradictions
from carobwalk.settings._errors import (
    SettingsError,
    SettingsErrorKind,
    SettingsErrors,
)
from carobwalk.settings._section import Section
from carobwalk.settings._settings import Settings

MAX_FILE_BYTES: Final = 65_536

_MAX_DEPTH: Final = 32
_OPENING: Final = frozenset('[{')
_CLOSING: Final = frozenset(']}')
_SYNTAX_FORM: Final = 'JSON with comments, each name once in its object'


def load_settings(path: Path | str) -> Result[Settings, SettingsErrors]:
    """Read and validate a settings file.

    Args:
        path: File of JSON with comments, in UTF-8.

    Returns:
        The settings, or all errors of the file.
    """
    file = str(path)
    try:
        with Path(path).open('rb') as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        return _fail(file, SettingsErrorKind.UNREADABLE, str(error), 'a file')
    return parse_settings(content, file)


def parse_settings(
    content: bytes,
    file: str,
) -> Result[Settings, SettingsErrors]:
    """Validate the content of a settings file.

    Args:
        content: Content of the file.
        file: Name of the file, for errors.

    Returns:
        The settings, or all errors of the file.
    """
    unreadable = SettingsErrorKind.UNREADABLE
    if len(content) > MAX_FILE_BYTES:
        allowed = f'at most {MAX_FILE_BYTES} bytes'
        return _fail(file, unreadable, 'a longer file', allowed)
    try:
        text = content.decode('utf-8')
    except UnicodeDecodeError as error:
        return _fail(file, unreadable, str(error), 'text in UTF-8')
    return _parse_text(text, file)


def _parse_text(text: str, file: str) -> Result[Settings, SettingsErrors]:
    syntax = SettingsErrorKind.SYNTAX
    if _depth_of(text) > _MAX_DEPTH:
        allowed = f'at most {_MAX_DEPTH} levels of brackets'
        return _fail(file, syntax, 'deeper nesting', allowed)
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return _fail(file, syntax, str(error), _SYNTAX_FORM)
    return _convert(raw, file)


def _depth_of(text: str) -> int:
    """Return an upper bound of the nesting, brackets in strings included."""
    depth = 0
    deepest = 0
    for character in text:
        if character in _OPENING:
            depth += 1
            deepest = max(deepest, depth)
        elif character in _CLOSING:
            depth = max(depth - 1, 0)
    return deepest


def _convert(raw: Any, file: str) -> Result[Settings, SettingsErrors]:
    errors: list[SettingsError] = []
    settings = Section(file, '', errors).convert(raw, Settings)
    if settings is None:
        return Err(SettingsErrors(tuple(errors)))
    errors.extend(
        SettingsError(
            file=file,
            path=contradiction.path,
            kind=SettingsErrorKind.CONTRADICTION,
            found=contradiction.found,
            allowed=contradiction.allowed,
        )
        for contradiction in find_contradictions(settings)
    )
    if errors:
        return Err(SettingsErrors(tuple(errors)))
    return Ok(settings)


def _fail(
    file: str,
    kind: SettingsErrorKind,
    found: str,
    allowed: str,
) -> Result[Settings, SettingsErrors]:
    printable = found.encode('utf-8', 'backslashreplace').decode('utf-8')
    line = ' '.join(printable.split())
    error = SettingsError(file, '', kind, line, allowed)
    return Err(SettingsErrors((error,)))
