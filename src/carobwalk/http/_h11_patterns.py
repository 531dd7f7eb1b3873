"""Patterns of linear time for h11's parser."""

import re
from typing import Final

from h11 import _abnf as abnf
from h11 import _readers as readers

# h11 0.16, which requirements.lock pins, tries every division of a run of
# spaces between two adjacent repetitions, so a line that it rejects takes time
# that grows with the square of its length, and nothing else runs meanwhile.
# Possessive quantifiers match the same lines with the same groups, but never
# give back what they have matched.
_FIELD_CONTENT: Final = (
    rf'{abnf.field_vchar}++(?:[ \t]++{abnf.field_vchar}++)*+'
)
HEADER_FIELD: Final = re.compile(
    (
        rf'(?P<field_name>{abnf.field_name}):'
        rf'[ \t]*+(?P<field_value>(?:{_FIELD_CONTENT})?+)[ \t]*+'
    ).encode('ascii'),
)
CHUNK_HEADER: Final = re.compile(
    (
        rf'(?P<chunk_size>{abnf.chunk_size})'
        r'(?P<chunk_ext>;[^\n\r]*+(?:\r(?!\n)[^\n\r]*+)*+)?+[ \t]*+\r\n'
    ).encode('ascii'),
)


def install_patterns() -> None:
    """Replace the patterns of h11's parser in this process."""
    readers.header_field_re = HEADER_FIELD
    readers.chunk_header_re = CHUNK_HEADER
