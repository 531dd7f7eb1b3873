"""Explanation of where a request would go now, without sending it.

It isn't imported by ``carobwalk.gateway``, so that a process loads it with
the first question only.
"""

from carobwalk.gateway.explain._explainer import Explainer, ExplainParts
from carobwalk.gateway.explain._facts import (
    DestinationFacts,
    Explanation,
    Outcome,
    OwnerFacts,
    Question,
    RouteFacts,
    Rule,
    ServerFacts,
)
from carobwalk.gateway.explain._server_view import ServerViewParts

__all__ = (
    'DestinationFacts',
    'ExplainParts',
    'Explainer',
    'Explanation',
    'Outcome',
    'OwnerFacts',
    'Question',
    'RouteFacts',
    'Rule',
    'ServerFacts',
    'ServerViewParts',
)
