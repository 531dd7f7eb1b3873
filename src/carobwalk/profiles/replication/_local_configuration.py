"""Local copy of the configuration at a process."""

import msgspec
import trio

from carobwalk.profiles._catalogue import Catalogue
from carobwalk.profiles._codec import RecordError, encode
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._invariants import require
from carobwalk.profiles._resolution import resolve


class LocalConfiguration:
    """Local copy of the configuration; its active revision never decreases.

    Before the process has joined, configurations are stored but not
    activated, so that a restarted process does not activate an older
    revision than the one it had before the restart.
    """

    def __init__(self) -> None:
        self.highest_known_revision = 0
        self.joined = False
        self._configuration = Configuration()
        self._resolved = Catalogue()
        self._catalogue = Catalogue()
        self._content = b''
        self._changed = trio.Event()

    @property
    def catalogue(self) -> Catalogue:
        """Active catalogue."""
        return self._catalogue

    @property
    def configuration(self) -> Configuration:
        """Latest received configuration, active once the process has joined."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Active revision; 0 if there is none."""
        return self._catalogue.revision

    @property
    def content(self) -> bytes:
        """Encoded configuration for transfer to peers, computed on demand."""
        if not self._content:
            self._content = encode(self._configuration)
        return self._content

    def note_revision(self, revision: int) -> None:
        """Record that a revision exists."""
        self.highest_known_revision = max(self.highest_known_revision, revision)

    def apply_if_newer(self, configuration: Configuration) -> bool:
        """Store a configuration if it is newer; activate it once joined.

        Args:
            configuration: A configuration that the store has accepted.

        Returns:
            Whether it was newer.

        Raises:
            RecordError: If it can't be resolved, because a newer version of
                the program wrote it; the current one is kept.
        """
        self.note_revision(configuration.revision)
        if configuration.revision <= self._configuration.revision:
            return False
        self._resolved = _resolve(configuration)
        self._configuration = configuration
        self._content = b''
        if self.joined:
            self._activate()
        return True

    def join(self) -> None:
        """Activate the latest configuration, and later ones on arrival."""
        self.joined = True
        if self._configuration.revision > self.revision:
            self._activate()

    async def wait_above(self, revision: int) -> None:
        """Wait until a higher revision is active."""
        while self.revision <= revision:
            await self._changed.wait()

    def _activate(self) -> None:
        catalogue = self._resolved
        require(
            catalogue.revision > self._catalogue.revision,
            'the active revision must not decrease',
        )
        require(
            catalogue.revision <= self.highest_known_revision,
            'the active revision must be a known revision',
        )
        self._catalogue = catalogue
        self._changed.set()
        self._changed = trio.Event()


def _resolve(configuration: Configuration) -> Catalogue:
    try:
        return resolve(configuration)
    except (msgspec.ValidationError, KeyError) as error:
        raise RecordError(str(error)) from error
