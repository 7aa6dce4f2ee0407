"""Typed view of the table for entries, with a lookup of workspaces by API key."""

import hashlib
import hmac
import logging
from collections.abc import Iterable

from spoolhead._internal.models import rows
from spoolhead.coordination import versioned_table

logger = logging.getLogger(__name__)


def get_key_digest(api_key: str) -> str:
    """Return the hexadecimal SHA-256 digest under which the table stores an API key.

    Keys consist of 256 random bits, so neither a salt nor a slow hash is needed.
    """
    return hashlib.sha256(api_key.encode("utf-8", "surrogateescape")).hexdigest()


class TableView:
    """Typed rows of the current version of the table.

    The mappings are updated in place, so other objects may keep references to them.

    :ivar version: version of the table; 0 before the first one.
    :ivar workspaces: workspace rows by name.
    :ivar services: service rows by name.
    :ivar upstreams: upstream rows by name.
    :ivar halls: hall rows by name.
    """

    def __init__(self) -> None:
        self.version = 0
        self.workspaces: dict[str, rows.WorkspaceRow] = {}
        self.services: dict[str, rows.ServiceRow] = {}
        self.upstreams: dict[str, rows.UpstreamRow] = {}
        self.halls: dict[str, rows.HallRow] = {}
        self._workspaces_by_digest: dict[str, str] = {}
        self._sheets = {
            rows.Sheet.WORKSPACES: self.workspaces,
            rows.Sheet.SERVICES: self.services,
            rows.Sheet.UPSTREAMS: self.upstreams,
            rows.Sheet.HALLS: self.halls,
        }

    def set_row(self, key: versioned_table.RowKey, value: object | None) -> None:
        """Set or remove one row.

        A row of an unknown sheet or an invalid row is logged and not stored.

        :param value: columns of the row, already validated by a keeper; None removes the row.
        """
        if key.sheet not in self._sheets:
            logger.error("ignoring row %s: unknown sheet", key)
            return
        sheet = rows.Sheet(key.sheet)
        old = self._sheets[sheet].pop(key.name, None)
        if isinstance(old, rows.WorkspaceRow):
            self._remove_keys(key.name, old)
        if value is None:
            return
        parsed = rows.parse_row(sheet, key.name, value)
        if parsed.is_error():
            logger.error("ignoring row %s: %s", key, "; ".join(map(str, parsed.error)))
            return
        self._sheets[sheet][key.name] = parsed.ok
        if isinstance(parsed.ok, rows.WorkspaceRow):
            for digest in parsed.ok.key_sha256:
                self._workspaces_by_digest[digest] = key.name

    def replace(self, table_rows: Iterable[tuple[versioned_table.RowKey, object]]) -> None:
        """Replace the whole table."""
        new_rows = dict(table_rows)
        for sheet, known in self._sheets.items():
            for name in list(known):
                key = versioned_table.RowKey(sheet, name)
                if key not in new_rows:
                    self.set_row(key, None)
        for key, value in new_rows.items():
            self.set_row(key, value)

    def get_workspace_of(self, api_key: str) -> str | None:
        """Return the workspace that owns an API key, or None."""
        digest = get_key_digest(api_key)
        owner = self._workspaces_by_digest.get(digest)
        if owner is None:
            return None
        row = self.workspaces[owner]
        matches = [hmac.compare_digest(digest, known) for known in row.key_sha256]
        return owner if any(matches) else None

    def _remove_keys(self, name: str, row: rows.WorkspaceRow) -> None:
        for digest in row.key_sha256:
            if self._workspaces_by_digest.get(digest) == name:
                del self._workspaces_by_digest[digest]
