"""Exhaustive model of grants whose duration counts from their arrival.

The model has one range of keys, two backend servers and up to three successive
coordinators. Time passes in ticks. Each order is sent in one step and has its
outcome in later ones; a coordinator may stop for any time, which the search
covers by letting it skip steps.
"""

from tests.keyspace.grant_model._rules import RULES
from tests.keyspace.grant_model._search import (
    SHORT_SECOND_TERM,
    THREE_TERMS,
    TWO_TERMS,
    Found,
    search,
)

__all__ = (
    'RULES',
    'SHORT_SECOND_TERM',
    'THREE_TERMS',
    'TWO_TERMS',
    'Found',
    'search',
)
