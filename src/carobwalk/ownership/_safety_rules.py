"""Rules that guarantee at most one owner per shard."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class SafetyRules:
    """Switches of the rules; all are in force in production.

    Tests disable one rule at a time to prove that their checker detects the
    resulting violation.

    Args:
        wait_for_expiry: A successor is activated only after the grant of the
            owner expired.
        fence_both: A new coordinator fences both holders of a succession,
            unless one reports a live grant and no autonomy.
        epoch_guard: A record is written only by the coordinator of its epoch.
        incarnation: A grant is valid for one incarnation of a server.
        settle_write: After an unanswered write, only holders that all possible
            records name are activated until a later write is confirmed.
        store_check: After the grant of a silent owner expired, the successor
            is activated only if the store confirms the epoch, or if both
            holders agreed to autonomy before.
        token_order: Of two reported grants the one with the higher token is the
            owner's, and its remaining time is counted from the report.
        server_fence: A server refuses orders of epochs below the accepted one.
        echo: The time to live of a grant is counted from the server's own
            clock in its last report, not from the arrival of the order.
        order_sequence: A server refuses an order if a later one was applied.
    """

    wait_for_expiry: bool = True
    fence_both: bool = True
    epoch_guard: bool = True
    incarnation: bool = True
    settle_write: bool = True
    store_check: bool = True
    token_order: bool = True
    server_fence: bool = True
    echo: bool = True
    order_sequence: bool = True


ALL_RULES = SafetyRules()
