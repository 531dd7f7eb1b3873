"""Merged time line of the events of all processes."""

from carobwalk.events.timeline._event_filter import EventFilter
from carobwalk.events.timeline._html import render_html
from carobwalk.events.timeline._json import render_json
from carobwalk.events.timeline._log_file import (
    DamagedLine,
    LogFile,
    LogUnreadable,
    read_log,
)
from carobwalk.events.timeline._merge import merge_events
from carobwalk.events.timeline._renderers import render, renderer_names
from carobwalk.events.timeline._request_trace import (
    RequestTrace,
    trace_request,
)
from carobwalk.events.timeline._svg import render_svg
from carobwalk.events.timeline._text import render_text

__all__ = (
    'DamagedLine',
    'EventFilter',
    'LogFile',
    'LogUnreadable',
    'RequestTrace',
    'merge_events',
    'read_log',
    'render',
    'render_html',
    'render_json',
    'render_svg',
    'render_text',
    'renderer_names',
    'trace_request',
)
