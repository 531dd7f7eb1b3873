"""HTTP administration API for profiles, services, tokens and quarantine."""

from carobwalk.admin._api import AdministrationApi
from carobwalk.admin._authenticator import BOOTSTRAP_OPERATOR, Authenticator
from carobwalk.admin._explanation import (
    ExplainOwnership,
    OwnershipExplanation,
    PlacementExplainer,
)
from carobwalk.admin._openapi import openapi_document
from carobwalk.admin._parts import AdministrationParts
from carobwalk.admin._quarantine import (
    EmptyQuarantine,
    QuarantinedRequest,
    RequestQuarantine,
)
from carobwalk.admin._tokens import Token, hash_secret, issue_token

__all__ = (
    'BOOTSTRAP_OPERATOR',
    'AdministrationApi',
    'AdministrationParts',
    'Authenticator',
    'EmptyQuarantine',
    'ExplainOwnership',
    'OwnershipExplanation',
    'PlacementExplainer',
    'QuarantinedRequest',
    'RequestQuarantine',
    'Token',
    'hash_secret',
    'issue_token',
    'openapi_document',
)
