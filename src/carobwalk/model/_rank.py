"""Priority ranks of requests."""

from enum import StrEnum


class Rank(StrEnum):
    """Priority class of a request; members are listed most urgent first."""

    LOOKUP = 'lookup'
    MONEY = 'money-bearing-action'
    BULK = 'bulk-upload'
