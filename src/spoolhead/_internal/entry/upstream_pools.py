"""The table's upstreams as an entry uses them: what it knows of each, and a pool a service."""

from collections.abc import Callable, Mapping

from spoolhead._internal.models import rows
from spoolhead._internal.policy import placement, replicas


class UpstreamPools:
    """Upstreams by name, and by service those that may get work.

    :param on_address_unused: called with an address to which no connection need be kept.
    """

    def __init__(self, on_address_unused: Callable[[str], None]) -> None:
        self._on_address_unused = on_address_unused
        self._pools: dict[str, placement.Pool] = {}
        self._replicas: dict[str, replicas.Replica] = {}

    def get_all(self) -> list[replicas.Replica]:
        """Return all upstreams, those leaving included."""
        return list(self._replicas.values())

    def get(self, name: str) -> replicas.Replica | None:
        """Return an upstream, or None."""
        return self._replicas.get(name)

    def get_pool(self, service: str) -> placement.Pool | None:
        """Return the upstreams of a service that may get work; None if it never had any."""
        return self._pools.get(service)

    def update(
        self,
        table_rows: Mapping[str, rows.UpstreamRow],
        halls: Mapping[str, rows.HallRow],
        now_s: float,
        *,
        is_new: bool,
    ) -> None:
        """Take over the table's upstreams.

        One that leaves or whose hall is evacuated is in no pool from here on.

        :param halls: the table's halls.
        :param is_new: an upstream that is not known yet has just come, so it starts slowly.
        """
        for name in list(self._replicas):
            if name not in table_rows:
                self._remove(name)
        for name, row in table_rows.items():
            known = self._replicas.get(name)
            is_evacuated = row.hall in halls and halls[row.hall].evacuated
            if known is not None and known.row is row and known.is_evacuated is is_evacuated:
                continue
            if known is not None and known.row.address != row.address:
                self._remove(name)
                known = None
            if known is None:
                known = replicas.Replica(name, row, now_s, is_new=is_new)
            known.is_evacuated = is_evacuated
            self._put(known, row)

    def _put(self, replica: replicas.Replica, row: rows.UpstreamRow) -> None:
        old_pool = self._pools.get(replica.row.service)
        if old_pool is not None:
            old_pool.remove(replica.name)
        replica.row = row
        self._replicas[replica.name] = replica
        if replica.is_leaving or replica.is_evacuated:
            self._on_address_unused(row.address)
            return
        self._pools.setdefault(row.service, placement.Pool()).put(replica)

    def _remove(self, name: str) -> None:
        replica = self._replicas.pop(name)
        pool = self._pools.get(replica.row.service)
        if pool is not None:
            pool.remove(name)
        self._on_address_unused(replica.row.address)
