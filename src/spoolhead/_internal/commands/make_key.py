"""``spoolhead make-key``: generates an API key for a workspace."""

import secrets

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.table import view

KEY_PREFIX = "sph-"
KEY_BYTES = 32


def run(*, as_json: bool) -> exit_codes.ExitCode:
    """Print a new key and its digest; the key is stored nowhere."""
    api_key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    digest = view.get_key_digest(api_key)
    if as_json:
        output.print_json({"api_key": api_key, "key_sha256": digest})
    else:
        print(f"for the caller:          {api_key}")
        print(f"for the row, key_sha256: {digest}")
    return exit_codes.ExitCode.OK
