"""Metrics by OpenTelemetry, scraped as Prometheus' text."""

from carobwalk.metrics._counting_event_log import CountingEventLog
from carobwalk.metrics._gateway_meter import GatewayMeter
from carobwalk.metrics._metered_sender import MeteredSender
from carobwalk.metrics._metered_store import MeteredStore
from carobwalk.metrics._metrics import Metrics
from carobwalk.metrics._process_usage import cpu_seconds, resident_bytes
from carobwalk.metrics._reading import Reading
from carobwalk.metrics._scrape_handler import SCRAPE_PATH, ScrapeHandler
from carobwalk.metrics._watched import Watched

__all__ = (
    'SCRAPE_PATH',
    'CountingEventLog',
    'GatewayMeter',
    'MeteredSender',
    'MeteredStore',
    'Metrics',
    'Reading',
    'ScrapeHandler',
    'Watched',
    'cpu_seconds',
    'resident_bytes',
)
