"""Intervals and timeouts of ownership."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTimes:
    """Intervals and timeouts, all in seconds unless stated otherwise.

    Args:
        heartbeat: Interval of orders to servers and of pushes to entries.
        grant_ttl: Time to live of a grant, on the server's clock.
        lease_ttl: Time to live of a dispatcher's lease, on its clock.
        drift: Largest relative difference between the rates of two clocks.
        adoption_window: Time that a new coordinator waits for entries to
            report their leases before it assigns dispatchers.
        order_timeout: Timeout of an order to a server.
        push_timeout: Timeout of a push to an entry.
        liveness_timeout: Age of the last report up to which a server or
            entry counts as alive.
        election_timeout: Time without a push of the coordinator after which
            the most preferred candidate runs for election.
        election_check_interval: Interval of checks of the election timeout.
        election_stagger: Additional delay for each live candidate that is
            more preferred.
        liveness_query_timeout: Timeout of queries to other entries about
            the coordinator.
        absence_timeout: Time off the host list after which a host counts as
            removed; it must exceed the maximum lag of the list.
        host_list_settle: Time for which the host list must stay unchanged
            before a service is divided into shards.
        host_list_interval: Interval of reads of the host list.
        store_timeout: Timeout of a call to the store.
        store_retry: Delay after a failed call to the store.
        store_lease_ttl: Time to live of the coordinator's lease in the store.
        store_probe_interval: Interval of probes of the store by a coordinator.
        probe_timeout: Duration above which a probe counts as slow and the
            coordinator asks the servers for autonomy.
        decision_interval: Longest delay between two decisions.
        balance_interval: Interval of planned moves.
        longest_request: Longest time limit of a request, for services
            without a profile.
    """

    heartbeat: float = 0.1
    grant_ttl: float = 0.6
    lease_ttl: float = 0.6
    drift: float = 0.01
    adoption_window: float = 0.2
    order_timeout: float = 0.2
    push_timeout: float = 0.2
    liveness_timeout: float = 0.35
    election_timeout: float = 0.25
    election_check_interval: float = 0.025
    election_stagger: float = 0.15
    liveness_query_timeout: float = 0.05
    absence_timeout: float = 6.0
    host_list_settle: float = 1.0
    host_list_interval: float = 0.5
    store_timeout: float = 2.0
    store_retry: float = 0.2
    store_lease_ttl: float = 3.0
    store_probe_interval: float = 0.5
    probe_timeout: float = 0.1
    decision_interval: float = 0.025
    balance_interval: float = 1.0
    longest_request: float = 120.0

    def ttl_with_drift(self, ttl: float) -> float:
        """Return the time after which a lease has expired on every clock."""
        return ttl * (1 + self.drift)
