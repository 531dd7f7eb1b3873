"""The side of a process that callers see."""

from carobwalk.entry._classify import Classifier
from carobwalk.entry._entry_limits import EntryLimits
from carobwalk.entry._observer import RequestEnded, RequestObserver
from carobwalk.entry._router import Router
from carobwalk.entry._server import EntryServer

__all__ = (
    'Classifier',
    'EntryLimits',
    'EntryServer',
    'RequestEnded',
    'RequestObserver',
    'Router',
)
