"""Structured events, event logs and the hybrid logical clock."""

from carobwalk.events._bounded_output import BoundedOutput
from carobwalk.events._event import Event
from carobwalk.events._event_log import EventLog, NullEventLog
from carobwalk.events._hybrid_clock import ClockDrift, HybridClock
from carobwalk.events._hybrid_stamp import HybridStamp, parse_stamp
from carobwalk.events._line_event_log import LineEventLog
from carobwalk.events._lines import LineError, format_line, parse_line
from carobwalk.events._logged_event import LoggedEvent
from carobwalk.events._rate_limited_event_log import (
    LinesLeftOut,
    RateLimitedEventLog,
)

__all__ = (
    'BoundedOutput',
    'ClockDrift',
    'Event',
    'EventLog',
    'HybridClock',
    'HybridStamp',
    'LineError',
    'LineEventLog',
    'LinesLeftOut',
    'LoggedEvent',
    'NullEventLog',
    'RateLimitedEventLog',
    'format_line',
    'parse_line',
    'parse_stamp',
)
