"""Rules of the model, each of which may be disabled."""

RULES = frozenset(
    (
        # The grant of an unresponsive owner expires before the next grant.
        'wait-hold',
        # After a release, unanswered grants expire before the next grant.
        'wait-unanswered',
        # Only an answered release ends a grant.
        'release-answered',
        # Bounds include the time that an order may take to arrive.
        'arrival-delay',
        # Bounds include the slowest clock of a server.
        'slow-clock',
        # No orders are sent once the lease may have expired.
        'term',
        # The clock of the term runs while the host is suspended.
        'clock-in-freeze',
        # The term is checked just before sending, not when preparing an order.
        'freeze-check-before-send',
        # A new coordinator waits for grants of the preceding one.
        'inherited',
        # The bounds reported by a predecessor include unanswered grants.
        'report-unanswered',
        # They include grants that wait for their answers.
        'report-in-flight',
        # They include the grants that the predecessor itself inherited.
        'report-inherited',
        # A release that was sent before the report is repeated after it: a
        # reported grant may have been applied and answered after the release.
        'release-after-report',
        # It is repeated after a second report as well, which may name grants
        # that the predecessor itself learned of after the first.
        'release-after-each-report',
        # A second report lowers the inherited bound only with its grants.
        'each-report-whole',
        # The undoing of an unsent grant keeps bounds reported meanwhile.
        'retract-keeps-inherited',
        # An assignment is written to the store before its first grant.
        'record',
        # The record of an assignment names the previous owner until the first
        # grant is accepted.
        'record-previous',
        # A write that is done after a successor's claim has no effect.
        'guarded-write',
        # A restarted server may hold keys by orders for its former incarnation.
        'restart-is-no-release',
    ),
)
