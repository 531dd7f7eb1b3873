"""Era of the platform's metadata store."""

from typing import Final

from carobwalk.http import HttpResponse
from carobwalk.store import MAX_ERA

_ERA_HEADER: Final = 'store-era'
# Python converts no text of more than 4300 digits to an integer.
_MAX_DIGITS: Final = 20


class StoreEra:
    """Highest era that this process knows; 0 for a store that tells none."""

    def __init__(self) -> None:
        self.current = 0

    def raise_to(self, era: int) -> None:
        """Record an era that this process has learned of.

        One that no store can have is ignored: with it, all answers of the
        store would count as earlier ones.
        """
        if era <= MAX_ERA:
            self.current = max(self.current, era)

    def accepts(self, response: HttpResponse) -> bool:
        """Record the era of an answer; return whether it is the current one.

        An answer of an earlier era tells of a state that is gone. One without
        a valid era tells none and counts as current.

        Args:
            response: Answer of the store.
        """
        era = _era_of(response)
        if era is None:
            return True
        self.raise_to(era)
        return era == self.current


def _era_of(response: HttpResponse) -> int | None:
    text = response.headers.get(_ERA_HEADER, '').strip()
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > _MAX_DIGITS:
        return None
    era = int(text)
    return era if era <= MAX_ERA else None
