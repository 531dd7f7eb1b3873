"""Names of the kinds of messages between processes."""

from typing import NewType

Topic = NewType('Topic', str)
