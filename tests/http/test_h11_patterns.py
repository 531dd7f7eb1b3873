"""Tests of the patterns that replace those of h11's parser."""

import random
import re

import pytest
from h11 import _abnf as abnf
from h11 import _readers as readers

from carobwalk.http._h11_patterns import CHUNK_HEADER, HEADER_FIELD

_SEED = 11
_COUNT = 100_000
_MAX_PIECES = 9
_HEADER_PIECES = (b'a', b'Z-9', b':', b' ', b'\t', b'\x00', b'\r', b'\n')
_FURTHER_HEADER_PIECES = (b'a', b': ', b' ', b'\x0b', b'\x01', b'\xff', b'/')
_CHUNK_PIECES = (b'5', b'aF', b';', b'x=1', b' ', b'\t', b'\r', b'\n', b'\r\n')


def _groups(pattern: re.Pattern[bytes], line: bytes) -> object:
    match = pattern.fullmatch(line)
    return match and match.groupdict()


class TestPatterns:
    @pytest.mark.parametrize(
        ('pattern', 'source', 'start', 'pieces', 'end'),
        [
            (HEADER_FIELD, abnf.header_field, b'', _HEADER_PIECES, b''),
            (
                HEADER_FIELD,
                abnf.header_field,
                b'x:',
                _FURTHER_HEADER_PIECES,
                b'',
            ),
            (CHUNK_HEADER, abnf.chunk_header, b'', _CHUNK_PIECES, b''),
            (CHUNK_HEADER, abnf.chunk_header, b'5', _CHUNK_PIECES, b'\r\n'),
        ],
        ids=['field', 'field-value', 'chunk', 'chunk-extension'],
    )
    def test_same_groups(
        self,
        pattern: re.Pattern[bytes],
        source: str,
        start: bytes,
        pieces: tuple[bytes, ...],
        end: bytes,
    ) -> None:
        """A short line gives the same groups as with h11's own pattern."""
        own = re.compile(source.encode('ascii'))
        choices = random.Random(_SEED)
        matched = 0
        for _ in range(_COUNT):
            count = choices.randrange(_MAX_PIECES)
            middle = b''.join(choices.choices(pieces, k=count))
            line = b'%s%s%s' % (start, middle, end)
            groups = _groups(own, line)
            matched += groups is not None
            assert _groups(pattern, line) == groups, line
        # Both kinds of lines occur.
        assert _COUNT // 1000 < matched < _COUNT

    def test_installed(self) -> None:
        """The parser uses the patterns."""
        assert readers.header_field_re is HEADER_FIELD
        assert readers.chunk_header_re is CHUNK_HEADER
