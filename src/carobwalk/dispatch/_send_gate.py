"""The last check before the first byte of a request is written."""

from collections.abc import Callable

from result import Err, Ok, Result

from carobwalk.dispatch._errors import DoubleSendError, FalseNotRunError
from carobwalk.dispatch._tenures import Tenure
from carobwalk.model import CallProgress, FenceToken, Outcome
from carobwalk.ownership import NoLease

ReadTenure = Callable[[], Result[Tenure, NoLease]]


class SendGate:
    """Counts the sends of one request and reads the leases for each.

    Args:
        read_tenure: Reads the dispatcher's lease and the owner's grant
            without counting a send.
        idempotent: Whether the request may be sent more than once.
        name: Identity of the request, for errors.
        progress: Told whether a byte may have reached the server.
    """

    def __init__(
        self,
        read_tenure: ReadTenure,
        *,
        idempotent: bool,
        name: str,
        progress: CallProgress | None = None,
    ) -> None:
        self.read_tenure = read_tenure
        self._idempotent = idempotent
        self._name = name
        self._progress = progress or CallProgress()
        self._expected: Tenure | None = None
        self._doubted = False
        self._sends = 0
        self._disowned = 0

    @property
    def sends(self) -> int:
        """Sends of which a byte may have reached the server."""
        return self._sends

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent now or again."""
        return self._idempotent or not self._sends

    @property
    def outcome(self) -> Outcome:
        """Outcome of a request that was not answered."""
        if self._doubted or self._sends > self._disowned:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def doubt(self) -> None:
        """Note that an earlier request for the same action may have run."""
        self._doubted = True
        self._note()

    def trust(self, tenure: Tenure) -> None:
        """Note that no earlier request ran, if the tenure goes on.

        Args:
            tenure: The only one under which the request may be sent.
        """
        self._doubted = False
        self._expected = tenure
        self._note()

    def open(self) -> Result[FenceToken, NoLease]:
        """Return the fence token, and count the request as sent.

        Raises:
            DoubleSendError: If a non-idempotent request was sent before.
        """
        if not self.may_send:
            raise DoubleSendError(self._name)
        tenure = self.read_tenure()
        if isinstance(tenure, Err):
            return tenure
        if self._expected not in {None, tenure.ok_value}:
            return Err(NoLease('the lease or grant changed meanwhile'))
        self._sends += 1
        self._note()
        return Ok(tenure.ok_value.grant)

    def retract(self) -> None:
        """Take back the last send: no byte of it was written."""
        self._sends -= 1
        self._note()

    def disown(self) -> None:
        """Note that the server said it did not run the last send.

        Raises:
            FalseNotRunError: If there was no such send.
        """
        self._disowned += 1
        if self._disowned > self._sends:
            raise FalseNotRunError(self._name)
        self._note()

    def _note(self) -> None:
        self._progress.note(is_sent=self.outcome is Outcome.UNKNOWN)
