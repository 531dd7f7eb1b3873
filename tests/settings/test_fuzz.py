"""Fuzz of the settings with a fixed seed."""

import json
import random
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from result import Ok

from carobwalk.settings import (
    Settings,
    SettingsErrorKind,
    SettingsErrors,
    parse_settings,
)

SEED = 20_261_204
BROKEN_TEXTS = 1800
OTHER_VALUES = 800
ANY_BYTES = 3000
BASE: Mapping[str, Any] = MappingProxyType(
    {
        'process': {'id': 'e', 'region': 'n', 'data_centre': 'n-a'},
        'listen': {
            'callers': '10.0.0.1:1',
            'peers': '10.0.0.1:2',
            'administration': '[::1]:3',
        },
        'platform': {'store': '10.0.0.2:4', 'host_list': '10.0.0.2:5'},
        'limits': {'header_bytes': 2048, 'drain_seconds': 1.5},
        'ownership': {'lease_seconds': 9},
    }
)
VALUES: tuple[Any, ...] = (
    None,
    True,
    0,
    -1,
    10**400,
    1e308,
    0.25,
    4096,
    '',
    'x',
    '10.0.0.1:1',
    '١٢٧.0.0.1:80',
    '\ud800',
    'a' * 70,
    [],
    [[]],
    {},
    {'id': {}},
)
FRAGMENTS = (b'{', b'}', b'[', b'"', b"'", b'/*', b'//', b',', b':', b'\\')


def _mutate_bytes(chance: random.Random) -> bytes:
    text = json.dumps(dict(BASE), separators=(',', ':')).encode()
    for _ in range(chance.randint(1, 4)):
        position = chance.randrange(len(text))
        end = position + chance.choice((0, 1, 1, 40))
        piece = chance.choice((*FRAGMENTS, bytes([chance.randrange(256)])))
        text = text[:position] + piece + text[end:]
    return text


def _mutate_values(chance: random.Random) -> bytes:
    tree = json.loads(json.dumps(dict(BASE)))
    for _ in range(chance.randint(1, 3)):
        node = tree
        if chance.randrange(10):
            node = node[chance.choice(sorted(BASE))]
        if isinstance(node, dict):
            names = [*sorted(node), 'unheard', 'drain_ms', 'heartbeat_seconds']
            node[chance.choice(names)] = chance.choice(VALUES)
    return json.dumps(tree, separators=(',', ':')).encode()


def _any_bytes(chance: random.Random) -> bytes:
    pieces = (*FRAGMENTS, b'NaN', b'1e999', b'0x', b'\xff', b'\0', b' ', b'a')
    count = chance.randint(0, 40)
    return b''.join(chance.choice(pieces) for _ in range(count))


def _check_each(
    make: Callable[[random.Random], bytes],
    count: int,
) -> tuple[int, int]:
    """Return how many inputs were accepted and refused."""
    chance = random.Random(SEED)
    accepted = 0
    for _ in range(count):
        outcome = parse_settings(make(chance), 'f')
        if isinstance(outcome, Ok):
            assert isinstance(outcome.ok_value, Settings)
            accepted += 1
            continue
        errors = outcome.err_value
        assert isinstance(errors, SettingsErrors)
        assert errors.errors
        for error in errors.errors:
            assert isinstance(error.kind, SettingsErrorKind)
            assert error.allowed
            assert '\n' not in str(error)
    return accepted, count - accepted


class TestFuzz:
    def test_broken_text(self) -> None:
        """Each text with broken bytes gives settings or typed errors."""
        accepted, refused = _check_each(_mutate_bytes, BROKEN_TEXTS)
        assert accepted > 0
        assert refused > BROKEN_TEXTS // 2

    def test_other_values(self) -> None:
        """Each exchange of values gives settings or typed errors."""
        accepted, refused = _check_each(_mutate_values, OTHER_VALUES)
        assert accepted > 0
        assert refused > OTHER_VALUES // 2

    def test_any_bytes(self) -> None:
        """Arbitrary fragments give typed errors."""
        accepted, refused = _check_each(_any_bytes, ANY_BYTES)
        assert (accepted, refused) == (0, ANY_BYTES)
