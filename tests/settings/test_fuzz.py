"""Fuzz tests of the settings parser with a fixed seed."""

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
MUTATED_TEXT_COUNT = 1800
MUTATED_VALUE_COUNT = 800
RANDOM_INPUT_COUNT = 3000
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


def _mutate_bytes(rng: random.Random) -> bytes:
    text = json.dumps(dict(BASE), separators=(',', ':')).encode()
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(text))
        end = position + rng.choice((0, 1, 1, 40))
        fragment = rng.choice((*FRAGMENTS, bytes([rng.randrange(256)])))
        text = text[:position] + fragment + text[end:]
    return text


def _mutate_values(rng: random.Random) -> bytes:
    settings = json.loads(json.dumps(dict(BASE)))
    for _ in range(rng.randint(1, 3)):
        section = settings
        if rng.randrange(10):
            section = section[rng.choice(sorted(BASE))]
        if isinstance(section, dict):
            names = [
                *sorted(section),
                'unheard',
                'drain_ms',
                'heartbeat_seconds',
            ]
            section[rng.choice(names)] = rng.choice(VALUES)
    return json.dumps(settings, separators=(',', ':')).encode()


def _random_fragments(rng: random.Random) -> bytes:
    fragments = (
        *FRAGMENTS,
        b'NaN',
        b'1e999',
        b'0x',
        b'\xff',
        b'\0',
        b' ',
        b'a',
    )
    count = rng.randint(0, 40)
    return b''.join(rng.choice(fragments) for _ in range(count))


def _check_each(
    generate: Callable[[random.Random], bytes],
    count: int,
) -> tuple[int, int]:
    """Return how many inputs were accepted and how many were rejected."""
    rng = random.Random(SEED)
    accepted = 0
    for _ in range(count):
        outcome = parse_settings(generate(rng), 'f')
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
    def test_mutated_text(self) -> None:
        """A text with mutated bytes results in settings or typed errors."""
        accepted, rejected = _check_each(_mutate_bytes, MUTATED_TEXT_COUNT)
        assert accepted > 0
        assert rejected > MUTATED_TEXT_COUNT // 2

    def test_mutated_values(self) -> None:
        """Replaced values result in settings or typed errors."""
        accepted, rejected = _check_each(_mutate_values, MUTATED_VALUE_COUNT)
        assert accepted > 0
        assert rejected > MUTATED_VALUE_COUNT // 2

    def test_random_fragments(self) -> None:
        """Random sequences of fragments are rejected with typed errors."""
        accepted, rejected = _check_each(_random_fragments, RANDOM_INPUT_COUNT)
        assert (accepted, rejected) == (0, RANDOM_INPUT_COUNT)
