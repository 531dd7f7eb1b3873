"""Versioned profiles and the assignment of services to them."""

from carobwalk.profiles._catalogue import Catalogue
from carobwalk.profiles._change import Action, Change, FieldChange
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._dependents import find_dependents
from carobwalk.profiles._effects import ServiceEffect, compare_services
from carobwalk.profiles._entity import Entity, Fields
from carobwalk.profiles._failures import (
    AlreadyExists,
    ConfigurationTooLarge,
    InUse,
    Invalid,
    NotFound,
    RevertsAnother,
    StaleRevision,
)
from carobwalk.profiles._operator import Operator, Role, find_operator
from carobwalk.profiles._policies import Policies
from carobwalk.profiles._problem import Problem, ProblemKind
from carobwalk.profiles._profile import Profile
from carobwalk.profiles._rank_rule import RankRule
from carobwalk.profiles._resolution import plain_fields, resolve
from carobwalk.profiles._service import Service
from carobwalk.profiles._store_failures import (
    ChangeNotKept,
    ConfigurationFailure,
    OutcomeUnknown,
    ReadFailure,
    StoreBehind,
    StoreUnavailable,
    WriteIdTaken,
)
from carobwalk.profiles._subject import Subject, SubjectKind
from carobwalk.profiles.replication import (
    ConfigurationFollower,
    FleetStatus,
    FollowerParts,
    FollowerSettings,
    ProcessStatus,
)
from carobwalk.profiles.writing import (
    Acceptance,
    ConfigurationHistory,
    ConfigurationRepository,
    HeadRecord,
    Preview,
    Proposal,
    WriteSettings,
)

__all__ = (
    'Acceptance',
    'Action',
    'AlreadyExists',
    'Catalogue',
    'Change',
    'ChangeNotKept',
    'Configuration',
    'ConfigurationFailure',
    'ConfigurationFollower',
    'ConfigurationHistory',
    'ConfigurationRepository',
    'ConfigurationTooLarge',
    'Entity',
    'FieldChange',
    'Fields',
    'FleetStatus',
    'FollowerParts',
    'FollowerSettings',
    'HeadRecord',
    'InUse',
    'Invalid',
    'NotFound',
    'Operator',
    'OutcomeUnknown',
    'Policies',
    'Preview',
    'Problem',
    'ProblemKind',
    'ProcessStatus',
    'Profile',
    'Proposal',
    'RankRule',
    'ReadFailure',
    'RevertsAnother',
    'Role',
    'Service',
    'ServiceEffect',
    'StaleRevision',
    'StoreBehind',
    'StoreUnavailable',
    'Subject',
    'SubjectKind',
    'WriteIdTaken',
    'WriteSettings',
    'compare_services',
    'find_dependents',
    'find_operator',
    'plain_fields',
    'resolve',
)
