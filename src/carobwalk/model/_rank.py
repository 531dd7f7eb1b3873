"""Ranks of work, most urgent first."""

from enum import StrEnum


class Rank(StrEnum):
    """Urgency class of a request; members are listed most urgent first."""

    LOOKUP = 'lookup'
    MONEY = 'money-bearing-action'
    BULK = 'bulk-upload'
