"""Application of the operator's evacuations to the server directory."""

from collections.abc import Callable
from typing import Final

from carobwalk.directory import Evacuations
from carobwalk.model import DataCentreName
from carobwalk.store import Listing, Removed, Versioned

_EVACUATION_PREFIX: Final = 'op/evacuate/'


class EvacuationReader:
    """Begins and ends evacuations as their records are written and removed.

    It implements ``RecordReader``. The name of a record ends with the name of
    the data centre; its content does not matter.

    Args:
        evacuations: Evacuated data centres.
        proved_at: Returns the time before which all changes of the records
            were known.
    """

    def __init__(
        self, evacuations: Evacuations, proved_at: Callable[[], float]
    ) -> None:
        self._evacuations = evacuations
        self._proved_at = proved_at

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Replace all evacuations by the listed ones.

        After an outage, a restored store may lack records for a time.
        """
        names = map(_data_centre, listing.records)
        self._evacuations.replace(
            filter(None, names), self._proved_at(), after_outage=after_outage
        )

    def apply(self, change: Versioned | Removed) -> None:
        """Apply the change of one record."""
        data_centre = _data_centre(change)
        if not data_centre:
            return
        if isinstance(change, Removed):
            self._evacuations.end(data_centre)
        else:
            self._evacuations.begin(data_centre, self._proved_at())


def _data_centre(record: Versioned | Removed) -> DataCentreName:
    """Return the data centre to evacuate, empty for other records."""
    if not record.name.startswith(_EVACUATION_PREFIX):
        return DataCentreName('')
    return DataCentreName(record.name.removeprefix(_EVACUATION_PREFIX))
