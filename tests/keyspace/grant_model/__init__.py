"""Exhaustive model of grants whose duration counts from their arrival.

The model has one range of keys, two backend servers and up to three successive
coordinators. Time passes in ticks. Each order is sent in one step and has its
outcome in later ones; a coordinator may stop for any time, which the search
covers by letting it skip steps. With abilities, coordinators also send longer
grants when their lease is in doubt, or resign, or begin without a record.
"""

from tests.keyspace.grant_model._rules import (
    ALL_RULES,
    CALM,
    FIRST_RECORD,
    FIRST_RECORD_RULES,
    LONG_GRANT_RULES,
    LONG_GRANTS,
    RESIGNATION,
    RESIGNATION_RULES,
    RULES,
)
from tests.keyspace.grant_model._search import (
    LONG_TERMS,
    RESIGNATION_TERMS,
    SHORT_SECOND_TERM,
    THREE_TERMS,
    TWO_TERMS,
    Found,
    search,
)

__all__ = (
    'ALL_RULES',
    'CALM',
    'FIRST_RECORD',
    'FIRST_RECORD_RULES',
    'LONG_GRANTS',
    'LONG_GRANT_RULES',
    'LONG_TERMS',
    'RESIGNATION',
    'RESIGNATION_RULES',
    'RESIGNATION_TERMS',
    'RULES',
    'SHORT_SECOND_TERM',
    'THREE_TERMS',
    'TWO_TERMS',
    'Found',
    'search',
)
