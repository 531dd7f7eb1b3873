"""Tests of the decoding of registry entries and configurations."""

import json
from types import MappingProxyType

import pytest
from result import Err, Ok

from carobwalk.platform import decode_configuration, decode_registry_entry
from tests.gateway.harness import CONFIGURATION

_ENTRY = MappingProxyType(
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


class TestRegistryEntry:
    def test_valid(self) -> None:
        """A valid entry is decoded to a backend server."""
        content = json.dumps(dict(_ENTRY)).encode()
        server = decode_registry_entry('servers/i-1', content).ok_value
        assert (server.id, server.born, server.slots) == ('i-1', 12, 4)
        assert str(server.address) == '10.0.0.1:80'
        assert not server.is_leaving

    def test_draining(self) -> None:
        """An entry in state draining is decoded to a leaving server."""
        content = json.dumps({**_ENTRY, 'state': 'draining'}).encode()
        assert decode_registry_entry('servers/i-1', content).ok_value.is_leaving

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
            {'slots': 10**309},
            {'slots': 2**63},
            {'slots': 2**31},
            {'born': 2**64},
            {'born': 2**63},
            {'born': -1},
            {'address': '10.0.0.1:65536'},
            {'address': f'10.0.0.1:{"9" * 5000}'},
        ],
    )
    def test_invalid_field(self, change) -> None:
        """An entry with a field of wrong type or value is rejected."""
        content = json.dumps({**_ENTRY, **change}).encode()
        assert isinstance(decode_registry_entry('servers/i-1', content), Err)

    @pytest.mark.parametrize('server', ['', 'a b', 'a\r\nx: y', 'ä', 'a\x00'])
    def test_bad_id(self, server: str) -> None:
        """An entry whose id can't be sent in a header field is rejected."""
        content = json.dumps(dict(_ENTRY)).encode()
        decoded = decode_registry_entry(f'servers/{server}', content)
        assert isinstance(decoded, Err)

    def test_deeply_nested(self) -> None:
        """An entry nested too deeply to be read is rejected."""
        # Guards against one entry that ends all processes that follow it.
        content = b'{"more":%s' % (b'[' * 20_000)
        assert isinstance(decode_registry_entry('servers/i-1', content), Err)

    @pytest.mark.parametrize('field', sorted(_ENTRY.keys() - {'version'}))
    def test_missing_field(self, field: str) -> None:
        """An entry without a required field is rejected."""
        content = dict(_ENTRY)
        content.pop(field)
        decoded = decode_registry_entry(
            'servers/i',
            json.dumps(content).encode(),
        )
        is_required = field not in {'warmup_left_s', 'sequence'}
        assert isinstance(decoded, Err if is_required else Ok)

    @pytest.mark.parametrize('content', [b'', b'\xff\xfe', b'[]', b'null'])
    def test_undecodable(self, content: bytes) -> None:
        """Content that is not a JSON object is rejected."""
        assert isinstance(decode_registry_entry('servers/i-1', content), Err)


class TestConfiguration:
    def test_valid(self) -> None:
        """A valid configuration is decoded to routes, services and limits."""
        configuration = decode_configuration(CONFIGURATION).ok_value
        assert configuration.version == 7
        assert configuration.limits.body_bytes == 100_000
        assert configuration.services_by_name['keyed'].is_keyed
        reads, writes, _ = configuration.routes
        assert reads.is_idempotent
        assert not writes.is_idempotent
        assert (reads.timeout, reads.max_attempts, writes.rank) == (0.6, 2, 1)

    def test_traffic_split(self) -> None:
        """A traffic split leaves out services with weight 0."""
        raw = json.loads(CONFIGURATION)
        action = raw['listeners'][0]['rule_set'][0]['action']
        action.pop('service')
        action['traffic_split'] = [
            {'service': 'reads', 'weight': 90},
            {'service': 'writes', 'weight': 0},
        ]
        content = json.dumps(raw).encode()
        route = decode_configuration(content).ok_value.routes[0]
        assert [destination.service for destination in route.destinations] == [
            'reads',
        ]

    @pytest.mark.parametrize(
        ('in_rule', 'in_action', 'expected'),
        [
            (None, None, None),
            (['r1', 'r2'], None, {'r1', 'r2'}),
            (None, ['r1'], {'r1'}),
            (['r1', 'r2'], ['r2', 'r3'], {'r2'}),
            ([], [], None),
        ],
    )
    def test_allowed_regions(self, in_rule, in_action, expected) -> None:
        """Allowed regions are read from the rule and from its action.

        Guards against requests that leave the regions because the other of
        the two places was read.
        """
        raw = json.loads(CONFIGURATION)
        rule = raw['listeners'][0]['rule_set'][0]
        rule['allowed_regions'] = in_rule
        rule['action']['allowed_regions'] = in_action
        decoded = decode_configuration(json.dumps(raw).encode())
        assert decoded.ok_value.routes[0].allowed_regions == expected

    def test_disjoint_regions(self) -> None:
        """Rule and action without a common region are rejected."""
        raw = json.loads(CONFIGURATION)
        rule = raw['listeners'][0]['rule_set'][0]
        rule['allowed_regions'] = ['r1']
        rule['action']['allowed_regions'] = ['r2']
        decoded = decode_configuration(json.dumps(raw).encode())
        assert 'allowed region' in decoded.err_value.detail

    @pytest.mark.parametrize(
        ('old', 'new'),
        [
            (b'"r7"', b'"7"'),
            (b'"timeout_s":0.6', b'"allowed_regions":"r1","timeout_s":0.6'),
            (b'"r7"', b'7'),
            (b'"service":"reads"', b'"service":"unknown"'),
            (b'"/reads/"', b'"reads"'),
            (b'"idempotent"', b'"other"'),
            (b'"max_attempts":2', b'"max_attempts":0'),
            (b'"timeout_s":0.6', b'"timeout_s":"1"'),
            (b'"service":"reads",', b''),
            (b'{"version"', b'{"version'),
            (b'{"version"', b'{"more":%s,"version"' % (b'[' * 20_000)),
        ],
    )
    def test_invalid(self, old: bytes, new: bytes) -> None:
        """An invalid configuration is rejected."""
        content = CONFIGURATION.replace(old, new, 1)
        assert content != CONFIGURATION
        assert isinstance(decode_configuration(content), Err)
