"""Error for a request that can't be read or routed."""

from http import HTTPStatus

from carobwalk.gateway import _refusals as refusals
from carobwalk.gateway._reply import Reply
from carobwalk.model import CarobwalkError


class RequestError(CarobwalkError):
    """A request can't be read or routed.

    Args:
        status: HTTP status of the answer.
        detail: What is wrong with the request; the body of the answer.
        retry_after: Seconds after which a retry may succeed, ``None`` if the
            same request would fail again.
    """

    def __init__(
        self,
        status: HTTPStatus,
        detail: str,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.retry_after = retry_after

    def reply(self) -> Reply:
        """Return the answer to the caller."""
        if self.retry_after is None:
            return refusals.rejected(self.status, self.detail)
        return refusals.not_run(self.detail, self.retry_after)
