"""Structured events and their causal order."""

from carobwalk.events._event import Event
from carobwalk.events._event_log import EventLog, NullEventLog

__all__ = ('Event', 'EventLog', 'NullEventLog')
