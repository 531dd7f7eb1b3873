"""Tests of loading and parsing settings."""

from pathlib import Path

import pytest
from result import Err, Ok

from carobwalk.model import Address, ProcessId
from carobwalk.settings import (
    Limits,
    Log,
    Ownership,
    Settings,
    SettingsErrorKind,
    SettingsErrors,
    load_settings,
    parse_settings,
)

EXAMPLE = Path(__file__).parents[2] / 'docs' / 'example-settings.json5'
REQUIRED = """
process: {id: 'e1', region: 'north', data_centre: 'north-a'},
listen: {
  callers: '127.0.0.1:1', peers: '127.0.0.1:2', administration: '[::1]:3',
},
platform: {store: '127.0.0.1:4', host_list: '127.0.0.1:5'},
"""


def _parse_errors(extra: str, required: str = REQUIRED) -> SettingsErrors:
    text = f'{{{required}{extra}}}'
    return parse_settings(text.encode(), 'some.json5').unwrap_err()


def _list_errors(errors: SettingsErrors) -> list[tuple[str, SettingsErrorKind]]:
    return [(error.path, error.kind) for error in errors.errors]


class TestLoadSettings:
    def test_example(self) -> None:
        """The example file in the docs is valid and contains the defaults."""
        settings = load_settings(EXAMPLE).unwrap()
        assert settings.process.id == ProcessId('entry-1')
        assert settings.limits == Limits()
        assert settings.ownership == Ownership()
        assert settings.log == Log()

    def test_missing_file(self, tmp_path: Path) -> None:
        """A missing file results in one typed error."""
        errors = load_settings(tmp_path / 'absent').unwrap_err()
        assert _list_errors(errors) == [('', SettingsErrorKind.UNREADABLE)]

    def test_size_limit(self, tmp_path: Path) -> None:
        """A file above the size limit is rejected before it is parsed."""
        path = tmp_path / 'long.json5'
        path.write_bytes(b' ' * 65_537)
        errors = load_settings(path).unwrap_err()
        assert errors.errors[0].allowed == 'at most 65536 bytes'


class TestParseSettings:
    def test_defaults(self) -> None:
        """Optional sections have defaults."""
        settings = parse_settings(f'{{{REQUIRED}}}'.encode(), 'f').unwrap()
        assert isinstance(settings, Settings)
        assert settings.listen.administration == Address('::1', 3)
        assert settings.limits == Limits()

    def test_all_errors_at_once(self) -> None:
        """All errors are reported together, each with its path."""
        errors = _parse_errors(
            'limits: {header_bytes: 12, header_byte: 1, drain_ms: 5},'
            "ownership: {heartbeat_seconds: '500ms', lease_seconds: [1]},"
            "log: {level: 'loud'}, extra: 1",
            required="process: {id: '', region: 'r'}, platform: 7,",
        )
        assert _list_errors(errors) == [
            ('extra', SettingsErrorKind.UNKNOWN_NAME),
            ('process.id', SettingsErrorKind.INVALID),
            ('process.data_centre', SettingsErrorKind.MISSING),
            ('listen', SettingsErrorKind.MISSING),
            ('platform', SettingsErrorKind.INVALID),
            ('log.level', SettingsErrorKind.INVALID),
            ('limits.header_byte', SettingsErrorKind.UNKNOWN_NAME),
            ('limits.drain_ms', SettingsErrorKind.UNKNOWN_NAME),
            ('limits.header_bytes', SettingsErrorKind.INVALID),
            ('ownership.heartbeat_seconds', SettingsErrorKind.INVALID),
            ('ownership.lease_seconds', SettingsErrorKind.INVALID),
        ]

    @pytest.mark.parametrize(
        ('extra', 'line'),
        [
            (
                "limits: {drain_seconds: '5s'}",
                "some.json5: limits.drain_seconds: invalid: '5s'; "
                'allowed: a number of seconds from 0.1 to 3600',
            ),
            (
                'limits: {header_bytes: 1}',
                'some.json5: limits.header_bytes: invalid: 1; '
                'allowed: a whole number of bytes from 1024 to 1048576',
            ),
            (
                'limits: {drain_ms: 1}',
                "some.json5: limits.drain_ms: unknown-name: 'drain_ms'; "
                'allowed: drain_seconds in seconds',
            ),
            (
                "log: {level: 'loud'}",
                "some.json5: log.level: invalid: 'loud'; "
                'allowed: one of debug, info, warning, error',
            ),
            (
                'log: {path: 5}',
                'some.json5: log.path: invalid: 5; allowed: the name of a '
                'file or null',
            ),
            (
                'limits: {header_bytes: true}',
                'some.json5: limits.header_bytes: invalid: True; '
                'allowed: a whole number of bytes from 1024 to 1048576',
            ),
            (
                'limits: {drain_seconds: NaN}',
                'some.json5: limits.drain_seconds: invalid: nan; '
                'allowed: a number of seconds from 0.1 to 3600',
            ),
            (
                'ownership: {heartbeat_seconds: 2, grant_seconds: 6}',
                'some.json5: ownership.lease_seconds: contradiction: 0.6; '
                'allowed: at least 6 seconds, which is 3 times '
                'heartbeat_seconds',
            ),
        ],
    )
    def test_message(self, extra: str, line: str) -> None:
        """An error states file, path, value found and allowed values."""
        assert str(_parse_errors(extra)) == line

    def test_shortest_lease(self) -> None:
        """A lease of three heartbeats is valid despite rounding errors."""
        times = 'heartbeat_seconds: 0.1, lease_seconds: 0.3, grant_seconds: 0.3'
        text = f'{{{REQUIRED}ownership: {{{times}}}}}'
        assert isinstance(parse_settings(text.encode(), 'f'), Ok)

    @pytest.mark.parametrize(
        'address',
        ['localhost:1', '127.0.0.1', '127.0.0.1:0', '1.2.3.4:65536', '::1:5'],
    )
    def test_addresses(self, address: str) -> None:
        """Only an IP address with a port from 1 to 65535 is accepted."""
        required = REQUIRED.replace('127.0.0.1:4', address)
        errors = _parse_errors('', required)
        assert _list_errors(errors) == [
            ('platform.store', SettingsErrorKind.INVALID),
        ]

    def test_duplicate_listen_address(self) -> None:
        """Listeners need distinct addresses, and peers a specified one."""
        required = REQUIRED.replace('127.0.0.1:1', '0.0.0.0:2').replace(
            '127.0.0.1:2',
            '0.0.0.0:2',
        )
        assert _list_errors(_parse_errors('', required)) == [
            ('listen.peers', SettingsErrorKind.CONTRADICTION),
            ('listen.peers', SettingsErrorKind.CONTRADICTION),
        ]

    @pytest.mark.parametrize(
        'text',
        ['', '{', '{a: 1, a: 2}', '[' * 5000, '{"a":' * 5000, '/*', "'"],
    )
    def test_syntax(self, text: str) -> None:
        """Invalid syntax results in one typed error."""
        outcome = parse_settings(text.encode(), 'f')
        assert isinstance(outcome, Err)
        assert _list_errors(outcome.err_value) == [
            ('', SettingsErrorKind.SYNTAX),
        ]

    def test_invalid_utf8(self) -> None:
        """Invalid UTF-8 results in one typed error."""
        outcome = parse_settings(b'\xff{}', 'f')
        assert isinstance(outcome, Err)
        assert _list_errors(outcome.err_value) == [
            ('', SettingsErrorKind.UNREADABLE),
        ]

    def test_comments(self) -> None:
        """Comments and trailing commas are allowed."""
        text = f'// one\n{{/* two */{REQUIRED}}}'
        assert isinstance(parse_settings(text.encode(), 'f'), Ok)
