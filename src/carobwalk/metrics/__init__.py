"""Metrics by OpenTelemetry, scraped as Prometheus' text."""

from carobwalk.metrics._metrics import Metrics
from carobwalk.metrics._process_usage import cpu_seconds, resident_bytes
from carobwalk.metrics._reading import Reading
from carobwalk.metrics._scrape_handler import SCRAPE_PATH, ScrapeHandler

__all__ = (
    'SCRAPE_PATH',
    'Metrics',
    'Reading',
    'ScrapeHandler',
    'cpu_seconds',
    'resident_bytes',
)
