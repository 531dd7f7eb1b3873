"""Final check before the first byte of a request is written."""

from collections.abc import Callable

from result import Err, Ok, Result

from carobwalk.dispatch._errors import DoubleSendError, FalseNotRunError
from carobwalk.dispatch._lease_history import SendTokens
from carobwalk.model import CallProgress, FenceToken, Outcome
from carobwalk.ownership import NoLease

ReadTokens = Callable[[], Result[SendTokens, NoLease]]


class SendGate:
    """Authorises each send of one request and tracks its outcome.

    Args:
        read_tokens: Reads the tokens of the dispatcher's lease and the
            owner's grant, without counting a send.
        idempotent: Whether the request may be sent more than once.
        name: Identity of the request, for error messages.
        progress: Notified whether a byte may have reached the server.
    """

    def __init__(
        self,
        read_tokens: ReadTokens,
        *,
        idempotent: bool,
        name: str,
        progress: CallProgress | None = None,
    ) -> None:
        self.read_tokens = read_tokens
        self._idempotent = idempotent
        self._name = name
        self._progress = progress or CallProgress()
        self._expected_tokens: SendTokens | None = None
        self._may_have_run = False
        self._sends = 0
        self._refused_sends = 0

    @property
    def sends(self) -> int:
        """Number of sends of which a byte may have reached the server."""
        return self._sends

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent, for the first time or again."""
        return self._idempotent or not self._sends

    @property
    def outcome(self) -> Outcome:
        """Outcome of the request if it gets no response."""
        if self._may_have_run or self._sends > self._refused_sends:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def mark_possibly_run(self) -> None:
        """Record that an earlier request for the action may have run."""
        self._may_have_run = True
        self._report_progress()

    def confirm_not_run(self, tokens: SendTokens) -> None:
        """Record that no earlier request for the action has run.

        This holds only while the lease and grant stay the same.

        Args:
            tokens: The only lease and grant under which the request may be
                sent.
        """
        self._may_have_run = False
        self._expected_tokens = tokens
        self._report_progress()

    def open(self) -> Result[FenceToken, NoLease]:
        """Return the fencing token to send and count the request as sent.

        Returns:
            The token of the grant; an error if there is no lease or it
            changed since `confirm_not_run`.

        Raises:
            DoubleSendError: If a non-idempotent request was sent before.
        """
        if not self.may_send:
            raise DoubleSendError(self._name)
        tokens = self.read_tokens()
        if isinstance(tokens, Err):
            return tokens
        if self._expected_tokens not in {None, tokens.ok_value}:
            return Err(NoLease('the lease or grant changed meanwhile'))
        self._sends += 1
        self._report_progress()
        return Ok(tokens.ok_value.grant)

    def undo_send(self) -> None:
        """Discount the last send because no byte of it was written."""
        self._sends -= 1
        self._report_progress()

    def record_refusal(self) -> None:
        """Record that the server refused the last send without running it.

        Raises:
            FalseNotRunError: If there are more refusals than sends.
        """
        self._refused_sends += 1
        if self._refused_sends > self._sends:
            raise FalseNotRunError(self._name)
        self._report_progress()

    def _report_progress(self) -> None:
        self._progress.record(is_sent=self.outcome is Outcome.UNKNOWN)
