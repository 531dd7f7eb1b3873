"""Progress of a request over its attempts."""

from carobwalk.model import ServerId, ServiceName


class Progress:
    """Progress of a request over all its attempts.

    Args:
        service: Service that runs the request.
        is_keyed: Whether the keys of the service have owners.
    """

    def __init__(self, service: ServiceName, *, is_keyed: bool) -> None:
        self.service = service
        self.is_keyed = is_keyed
        self.may_have_run = False
        self.sends = 0
        # Sends beyond the first that were taken from the retry budget.
        self.paid_retries = 0
        self.last_server = ServerId('')
        self.sent_to: set[ServerId] = set()
        self.excluded: set[ServerId] = set()
