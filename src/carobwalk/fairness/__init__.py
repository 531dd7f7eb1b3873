"""Fair queueing, shared by all ways of running the product."""

from carobwalk.fairness._caller_queue import CallerQueue, QueuedByCaller

__all__ = ('CallerQueue', 'QueuedByCaller')
