"""Caller-facing HTTP listener: parses, classifies and routes requests."""

from carobwalk.entry._classifier import Classifier
from carobwalk.entry._entry_limits import EntryLimits
from carobwalk.entry._entry_server import EntryServer
from carobwalk.entry._request_observer import RequestEnded, RequestObserver
from carobwalk.entry._router import Router

__all__ = (
    'Classifier',
    'EntryLimits',
    'EntryServer',
    'RequestEnded',
    'RequestObserver',
    'Router',
)
