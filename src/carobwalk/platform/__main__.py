"""Command that runs a gateway process on the hosting platform."""

import importlib
import os
import sys
from pathlib import Path
from typing import Final

from carobwalk._library_lookup import patch_find_library

_SETTINGS_PATH_VARIABLE: Final = 'CAROBWALK_BOOT'


def main() -> int:
    """Run the process that a settings file describes.

    The path is the first argument, else the value of ``CAROBWALK_BOOT``.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 if requests in flight were
        aborted, 2 if the settings are invalid.
    """
    # Importing trio calls ctypes.util.find_library, which starts a process.
    patch_find_library()
    app = importlib.import_module('carobwalk.app')
    argument = sys.argv[1] if len(sys.argv) > 1 else None
    path = Path(argument or os.environ[_SETTINGS_PATH_VARIABLE])
    return int(app.serve_gateway(path))


if __name__ == '__main__':
    sys.exit(main())
