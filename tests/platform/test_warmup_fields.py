"""Decoding of the fields on warm-up, any of which may be absent or bad."""

import json

import pytest

from carobwalk.platform import decode_configuration, decode_registry_entry
from tests.gateway.harness import CONFIGURATION

_ENTRY = (
    b'{"service":"a","address":"10.0.0.1:80","zone":"z","slots":4,'
    b'"state":"ready","born":12%s}'
)


def _warmup_left(field: bytes) -> float | None:
    decoded = decode_registry_entry('servers/i-1', _ENTRY % field)
    return decoded.ok_value.warmup_left


class TestEntry:
    @pytest.mark.parametrize(
        ('field', 'expected'),
        [
            (b'', 0),
            (b',"warmup_left_s":0', 0),
            (b',"warmup_left_s":7', 7),
            (b',"warmup_left_s":0.25', 0.25),
            (b',"warmup_left_s":-0.1', 0),
        ],
    )
    def test_valid(self, field: bytes, expected: float) -> None:
        """The time left is read in seconds; it is 0 if absent."""
        assert _warmup_left(field) == expected

    @pytest.mark.parametrize(
        'text',
        [
            b'"7"',
            b'null',
            b'[1]',
            b'{}',
            b'true',
            b'1e9',
            b'1e999',
            b'9' * 5000,
            b'[' * 500 + b']' * 500,
        ],
    )
    def test_invalid(self, text: bytes) -> None:
        """An entry with only this field invalid is used.

        Guards against a server without requests because of a field that
        matters for seconds.
        """
        assert _warmup_left(b',"warmup_left_s":%s' % text) is None


class TestConfiguration:
    def _decode(self, **fields):
        raw = json.loads(CONFIGURATION)
        raw['clusters'][0].update(fields)
        decoded = decode_configuration(json.dumps(raw).encode())
        return decoded.ok_value.services_by_name['reads']

    def test_valid(self) -> None:
        """The limit of a cold server and its usual time are read."""
        service = self._decode(warmup_s=12, warmup_per_s=3.7)
        assert (service.warmup_seconds, service.warmup_rate) == (12, 3.7)

    @pytest.mark.parametrize('number', [None, 0, -1])
    def test_without_limit(self, number: float | None) -> None:
        """Without a positive number, cold servers are not limited."""
        assert self._decode(warmup_per_s=number).warmup_rate is None
        assert self._decode().warmup_rate is None
