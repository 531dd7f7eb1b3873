"""Decisions about proposals on a small configuration."""

from carobwalk.profiles import (
    ConfigurationFailure,
    HeadRecord,
    Policies,
    Proposal,
)
from carobwalk.profiles.writing._decision import decide
from tests.profiles._proposals import PROFILE, SERVICE, propose

_POLICY_NAMES = ('guaranteed-shares',)
POLICIES = Policies({'dispatch_policy': frozenset(_POLICY_NAMES)})


def accept(record: HeadRecord, *proposals: Proposal) -> HeadRecord:
    """Return the record after proposals, which must be accepted."""
    for proposal in proposals:
        decided = decide(record, proposal, POLICIES, at=1).unwrap()
        record = decided.record
    return record


def refuse(record: HeadRecord, proposal: Proposal) -> ConfigurationFailure:
    """Return why a proposal is rejected, which it must be."""
    return decide(record, proposal, POLICIES, at=1).unwrap_err()


def case_configuration() -> HeadRecord:
    """Return a configuration of two profiles and a service, at revision 3."""
    return accept(
        HeadRecord(),
        propose(PROFILE, 'base', {'slots': 4}, 0),
        propose(PROFILE, 'filings', {'parent': 'base', 'slots': 3}, 1),
        propose(SERVICE, 'case-registry', {'profile': 'filings'}, 2),
    )
