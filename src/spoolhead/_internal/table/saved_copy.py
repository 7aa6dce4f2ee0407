"""Saves an entry's latest table on disk, for a restart while no keeper is reachable."""

import logging
import pathlib

import msgpack

from spoolhead._internal import exceptions
from spoolhead._internal.table import packing
from spoolhead._internal.utils import files
from spoolhead.coordination import changelog, following

logger = logging.getLogger(__name__)

COPY_NAME = "table.copy"


class SavedCopy:
    """A file with one checksummed record of the table's log id, version and rows.

    :param folder: the entry's data folder.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / COPY_NAME
        self._saved_version = 0

    def load(self, table: following.FollowedTable) -> bool:
        """Load the saved table into an empty followed table.

        :returns: False if there is no saved table, or if it is unreadable or damaged.
        """
        try:
            found = changelog.scan(self._path.read_bytes())
        except FileNotFoundError:
            return False
        except OSError as error:
            logger.error("%s: %s", self._path, error.strerror)
            return False
        if found.damage is not None or len(found.payloads) != 1:
            logger.error("ignoring %s: it is damaged", self._path)
            return False
        log_id, version, packed = msgpack.unpackb(found.payloads[0])
        table.take_snapshot(log_id, version, packing.unpack_rows(packed))
        self._saved_version = version
        return True

    def save(self, table: following.FollowedTable) -> None:
        """Save a table if it is newer than the saved one; a disk error is only logged."""
        if table.version <= self._saved_version:
            return
        payload = msgpack.packb([table.log_id, table.version, packing.pack_rows(table.rows)])
        try:
            files.replace_file(self._path, changelog.make_record(payload))
        except exceptions.DiskError as error:
            logger.error("cannot save the table: %s", error)
            return
        self._saved_version = table.version
