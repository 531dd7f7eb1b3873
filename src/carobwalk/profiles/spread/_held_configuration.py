"""The configuration that a process holds."""

import msgspec
import trio

from carobwalk.profiles._catalogue import Catalogue
from carobwalk.profiles._codec import RecordError, encode
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._invariants import require
from carobwalk.profiles._resolution import resolve


class HeldConfiguration:
    """Configuration in force at a process; its revision never falls.

    Until the process has joined, configurations are kept but not in force: a
    process that was started again must not apply an older one than before.
    """

    def __init__(self) -> None:
        self.heard = 0
        self.joined = False
        self._configuration = Configuration()
        self._resolved = Catalogue()
        self._catalogue = Catalogue()
        self._content = b''
        self._changed = trio.Event()

    @property
    def catalogue(self) -> Catalogue:
        """Catalogue in force."""
        return self._catalogue

    @property
    def configuration(self) -> Configuration:
        """Highest configuration known, in force once the process joined."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Revision in force; 0 for none."""
        return self._catalogue.revision

    @property
    def content(self) -> bytes:
        """Encoded configuration, as peers pass it on."""
        if not self._content:
            self._content = encode(self._configuration)
        return self._content

    def hear(self, revision: int) -> None:
        """Note that a revision exists."""
        self.heard = max(self.heard, revision)

    def offer(self, configuration: Configuration) -> bool:
        """Keep a configuration if it is newer, and put it in force.

        Args:
            configuration: A configuration that the store accepted.

        Returns:
            Whether it was newer.

        Raises:
            RecordError: If this program can't resolve it, because a newer
                one wrote it; the present one stays.
        """
        self.hear(configuration.revision)
        if configuration.revision <= self._configuration.revision:
            return False
        self._resolved = _resolve(configuration)
        self._configuration = configuration
        self._content = b''
        if self.joined:
            self._put_in_force()
        return True

    def join(self) -> None:
        """Put the highest known configuration in force from now on."""
        self.joined = True
        if self._configuration.revision > self.revision:
            self._put_in_force()

    async def wait_above(self, revision: int) -> None:
        """Wait until a higher revision is in force."""
        while self.revision <= revision:
            await self._changed.wait()

    def _put_in_force(self) -> None:
        catalogue = self._resolved
        require(
            catalogue.revision > self._catalogue.revision,
            'the revision in force never falls',
        )
        require(
            catalogue.revision <= self.heard,
            'a revision in force was heard of',
        )
        self._catalogue = catalogue
        self._changed.set()
        self._changed = trio.Event()


def _resolve(configuration: Configuration) -> Catalogue:
    try:
        return resolve(configuration)
    except (msgspec.ValidationError, KeyError) as error:
        raise RecordError(str(error)) from error
