"""A request that can't be read or routed."""

from http import HTTPStatus

from carobwalk.model import CarobwalkError


class RequestError(CarobwalkError):
    """A request that can't be read.

    Args:
        status: HTTP status of the answer.
        detail: What is wrong with it.
    """

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
