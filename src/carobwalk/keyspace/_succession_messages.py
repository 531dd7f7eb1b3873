"""Messages between a coordinator and its predecessor."""

from typing import Final

import msgspec

from carobwalk.keyspace._grant_ledger import LedgerState
from carobwalk.peer import Topic

SUCCESSION_TOPIC: Final = Topic('keyspace.succession')


class SuccessionQuestion(msgspec.Struct, frozen=True):
    """Question for the bounds on the grants of a term.

    Args:
        lease: Lease that the term is bound to.
        service: Service whose keys were granted.
    """

    lease: str
    service: str


class SuccessionAnswer(msgspec.Struct, frozen=True):
    """Answer to a question for the bounds on grants.

    Args:
        state: The bounds, ``None`` if the process does not know the term.
    """

    state: LedgerState | None = None
