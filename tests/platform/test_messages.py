"""Decoding of what the users' platform holds."""

import json
from types import MappingProxyType

import pytest
from result import Err, Ok

from carobwalk.platform import decode_configuration, decode_entry
from tests.gateway.harness import CONFIGURATION

ENTRY = MappingProxyType(
    {
        'service': 'a',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'warmup_left_s': 0,
        'sequence': 4,
        'born': 12,
    },
)


class TestEntry:
    def test_good(self) -> None:
        """An entry gives a backend server."""
        content = json.dumps(dict(ENTRY)).encode()
        server = decode_entry('servers/i-1', content).ok_value
        assert (server.id, server.born, server.slots) == ('i-1', 12, 4)
        assert str(server.address) == '10.0.0.1:80'
        assert not server.is_leaving

    def test_leaving(self) -> None:
        """A draining server is leaving."""
        content = json.dumps({**ENTRY, 'state': 'draining'}).encode()
        assert decode_entry('servers/i-1', content).ok_value.is_leaving

    @pytest.mark.parametrize(
        'change',
        [
            {'born': 1.5},
            {'born': '12'},
            {'slots': '4'},
            {'slots': 0},
            {'state': 'broken'},
            {'address': 'host:80'},
            {'address': 7},
            {'service': ''},
            {'service': None},
        ],
    )
    def test_foreign(self, change) -> None:
        """An entry of another writer names no backend server."""
        content = json.dumps({**ENTRY, **change}).encode()
        assert isinstance(decode_entry('servers/i-1', content), Err)

    @pytest.mark.parametrize('name', sorted(ENTRY.keys() - {'version'}))
    def test_missing(self, name: str) -> None:
        """An entry without a field that is needed is dropped."""
        content = dict(ENTRY)
        content.pop(name)
        decoded = decode_entry('servers/i', json.dumps(content).encode())
        is_needed = name not in {'warmup_left_s', 'sequence'}
        assert isinstance(decoded, Err if is_needed else Ok)

    @pytest.mark.parametrize('content', [b'', b'\xff\xfe', b'[]', b'null'])
    def test_bytes(self, content: bytes) -> None:
        """Bytes that can't be read are a typed error."""
        assert isinstance(decode_entry('servers/i-1', content), Err)


class TestConfiguration:
    def test_good(self) -> None:
        """A configuration gives routes, services and limits."""
        configuration = decode_configuration(CONFIGURATION).ok_value
        assert configuration.version == 7
        assert configuration.limits.body_bytes == 100_000
        assert configuration.services_by_name['keyed'].is_keyed
        reads, writes, _ = configuration.routes
        assert reads.is_idempotent
        assert not writes.is_idempotent
        assert (reads.timeout, reads.max_attempts, writes.rank) == (0.6, 2, 1)

    def test_split(self) -> None:
        """A split names several services; weight 0 takes none."""
        raw = json.loads(CONFIGURATION)
        action = raw['listeners'][0]['rule_set'][0]['action']
        action.pop('service')
        action['traffic_split'] = [
            {'service': 'reads', 'weight': 90},
            {'service': 'writes', 'weight': 0},
        ]
        content = json.dumps(raw).encode()
        route = decode_configuration(content).ok_value.routes[0]
        assert [share.service for share in route.destinations] == ['reads']

    @pytest.mark.parametrize(
        ('old', 'new'),
        [
            (b'"r7"', b'"7"'),
            (b'"r7"', b'7'),
            (b'"service":"reads"', b'"service":"unknown"'),
            (b'"/reads/"', b'"reads"'),
            (b'"idempotent"', b'"other"'),
            (b'"max_attempts":2', b'"max_attempts":0'),
            (b'"timeout_s":0.6', b'"timeout_s":"1"'),
            (b'"service":"reads",', b''),
            (b'{"version"', b'{"version'),
        ],
    )
    def test_bad(self, old: bytes, new: bytes) -> None:
        """A configuration that is not valid is a typed error."""
        content = CONFIGURATION.replace(old, new, 1)
        assert content != CONFIGURATION
        assert isinstance(decode_configuration(content), Err)
