"""Load generator that acts as callers of the entries."""

from standins.load._audit import Violation, ViolationKind, audit
from standins.load._callers import Callers
from standins.load._generator import TaskGenerator
from standins.load._idempotency_key import make_idempotency_key
from standins.load._observation import Observation
from standins.load._plan import LoadPlan
from standins.load._rank_mix import RankMix
from standins.load._run_load import run_load
from standins.load._summary import RankSummary, summarise
from standins.load._task import LoadTask

__all__ = (
    'Callers',
    'LoadPlan',
    'LoadTask',
    'Observation',
    'RankMix',
    'RankSummary',
    'TaskGenerator',
    'Violation',
    'ViolationKind',
    'audit',
    'make_idempotency_key',
    'run_load',
    'summarise',
)
