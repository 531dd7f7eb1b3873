"""Version of carobwalk."""

from typing import Final

VERSION: Final = '0.1.0'
