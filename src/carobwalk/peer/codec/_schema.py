"""Schema of frames, compiled by pycapnp on import."""

from pathlib import Path
from typing import Any

import capnp

_PATH = Path(__file__).with_name('peer.capnp')

schema: Any = capnp.load(str(_PATH))
