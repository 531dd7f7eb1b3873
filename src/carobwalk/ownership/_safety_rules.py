"""Rules that single ownership rests on."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class SafetyRules:
    """Rules in force; tests break them one by one to check their checker.

    Args:
        wait: The successor is activated only after the owner's lapse.
        fence_both: A new coordinator fences both holders of a succession,
            unless one reports a live grant and no autonomy.
        epoch_guard: A record is written only by the coordinator of its epoch.
        incarnation: A grant is valid for one incarnation of a server.
        settle_write: After an unanswered write nothing that the two possible
            records disagree on is activated before a confirmed write.
        store_check: After the lapse of a silent owner the successor is
            activated only if the store confirms the epoch, or if both agreed
            to autonomy before.
        token_order: Of two reported grants the higher token is the owner's,
            and a report counts only until its grant's end.
        server_fence: A server refuses epochs below the accepted one.
        echo: A grant is counted from the server's own earlier reading.
        order_sequence: A server refuses orders that were overtaken.
    """

    wait: bool = True
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
