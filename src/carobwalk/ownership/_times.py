"""Time limits of ownership."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipTimes:
    """Time limits, all in seconds unless stated otherwise.

    Args:
        heartbeat: Interval of orders to servers and of pushes to entries.
        grant_ttl: Time to live of a grant, on the server's clock.
        lease_ttl: Time to live of a dispatcher's lease, on its clock.
        drift: Largest relative difference of two clock rates.
        adoption: Time that a new coordinator waits for reports of leases
            before it assigns dispatchers.
        order_timeout: Longest wait for the report on an order.
        push_timeout: Longest wait for the answer to a push.
        fresh: Age of the last report up to which a server counts as alive.
        silence: Silence of the coordinator after which the first candidate
            stands for election.
        silence_check: Interval of checks for silence.
        stagger: Further silence for each candidate behind the first.
        witness_timeout: Longest wait for what others heard.
        absence: Time off the host list after which a host counts as gone; it
            must exceed the time by which the list can lag.
        settle: Time for which the host list must stay unchanged before a
            service is divided.
        host_list_interval: Interval of readings of the host list.
        store_timeout: Longest wait for the store.
        store_retry: Pause after a failed call to the store.
        store_lease_ttl: Time to live of the coordinator's lease in the store.
        store_probe: Interval of probes of the store by a coordinator.
        probe_timeout: Longest answer to a probe; a slower store makes the
            coordinator ask the servers for autonomy.
        decision_interval: Longest pause between two decisions.
        balance_interval: Interval of planned moves.
        longest_request: Longest time for which a request may run.
    """

    heartbeat: float = 0.1
    grant_ttl: float = 0.6
    lease_ttl: float = 0.6
    drift: float = 0.01
    adoption: float = 0.2
    order_timeout: float = 0.2
    push_timeout: float = 0.2
    fresh: float = 0.35
    silence: float = 0.25
    silence_check: float = 0.025
    stagger: float = 0.15
    witness_timeout: float = 0.05
    absence: float = 6.0
    settle: float = 1.0
    host_list_interval: float = 0.5
    store_timeout: float = 2.0
    store_retry: float = 0.2
    store_lease_ttl: float = 3.0
    store_probe: float = 0.5
    probe_timeout: float = 0.1
    decision_interval: float = 0.025
    balance_interval: float = 1.0
    longest_request: float = 120.0

    def lapse(self, ttl: float) -> float:
        """Return the time after which a lease is over on every clock."""
        return ttl * (1 + self.drift)
