"""Values of the header that tells the era of the store."""

import pytest

from carobwalk.http import HttpResponse
from carobwalk.platform._store_era import StoreEra
from carobwalk.store import MAX_ERA


class TestHeader:
    @pytest.mark.parametrize(
        'text', ('', '-1', '1.5', '\u0663', str(MAX_ERA + 1), '9' * 5000)
    )
    def test_invalid(self, text: str) -> None:
        """An invalid era is ignored.

        Guards against an exception in a task that follows the store.
        """
        era = StoreEra()
        assert era.accepts(HttpResponse(200, {'store-era': text}))
        assert era.current == 0

    def test_valid(self) -> None:
        """The highest era is kept, and answers of earlier ones are refused."""
        era = StoreEra()
        assert era.accepts(HttpResponse(200, {'store-era': ' 07 '}))
        assert era.current == 7
        assert not era.accepts(HttpResponse(200, {'store-era': '6'}))

    def test_impossible(self) -> None:
        """An impossible era from another process changes nothing.

        Guards against a damaged revision after which no answer is accepted.
        """
        era = StoreEra()
        era.raise_to(MAX_ERA + 1)
        assert era.accepts(HttpResponse(200, {'store-era': '1'}))
