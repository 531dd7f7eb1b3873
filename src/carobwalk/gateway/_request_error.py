"""Error for a request that can't be read or routed."""

from http import HTTPStatus

from carobwalk.model import CarobwalkError


class RequestError(CarobwalkError):
    """A request can't be read or routed.

    Args:
        status: HTTP status of the answer.
        detail: What is wrong with the request; the body of the answer.
    """

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
