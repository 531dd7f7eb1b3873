"""Rules of the model, each of which may be disabled, and its abilities."""

# Abilities of coordinators: without them they have one length of grants and
# never resign.
LONG_GRANTS = 'long-grants'
RESIGNATION = 'resignation'
# The search begins without a record. It is not combined with the others.
FIRST_RECORD = 'first-record'
# Restricts the events: no server restarts, and all orders are sent and applied
# at once on arrival. Short traces of broken rules are found sooner.
CALM = 'calm'

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
        # Refused connections don't end a grant: a server that lives refuses
        # them while it has too many.
        'refusal-is-no-end',
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
# Rules that matter only with grants of two lengths.
LONG_GRANT_RULES = frozenset(
    (
        # The bound of a grant follows its own length.
        'bound-by-length',
        # Unknown grants of a preceding coordinator count as long ones.
        'inherited-longest',
        # A shorter grant leaves the bound of a longer one before it in force.
        'longest-bound',
    ),
)
# Rules that matter only with resignations.
RESIGNATION_RULES = frozenset(
    (
        # A record declares all grants answered only if the unanswered ones have
        # expired.
        'settled-unanswered',
        # The same for grants that wait for their answers,
        'settled-in-flight',
        # and for grants that the resigning coordinator inherited.
        'settled-inherited',
        # A resigning coordinator sends nothing after that record.
        'closed-before-record',
        # The claim of a successor takes the declaration back.
        'claim-unsettles',
    ),
)
# Rules that matter only before there is a record.
FIRST_RECORD_RULES = frozenset(
    (
        # A coordinator that claimed nothing goes on only with a record that
        # names itself: its successor asks the process that the record names.
        'own-record',
    ),
)
ALL_RULES = RULES | LONG_GRANT_RULES | RESIGNATION_RULES | FIRST_RECORD_RULES
