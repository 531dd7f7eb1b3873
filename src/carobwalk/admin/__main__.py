"""Print the OpenAPI document, as committed in docs/openapi.json."""

import json
import sys

from carobwalk.admin import openapi_document


def main() -> None:
    """Write the document to standard output."""
    text = json.dumps(openapi_document(), indent=2, sort_keys=True)
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    main()
