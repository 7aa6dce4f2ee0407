"""State of the table's upstreams at an entry, and a pool of usable upstreams for each service."""

from collections.abc import Callable, Mapping

from spoolhead._internal.models import rows
from spoolhead._internal.policy import placement, replicas


class UpstreamPools:
    """All upstreams by name, and for each service the upstreams that may receive requests.

    :param on_address_unused: called with an address whose idle connections can be closed.
    """

    def __init__(self, on_address_unused: Callable[[str], None]) -> None:
        self._on_address_unused = on_address_unused
        self._pools: dict[str, placement.Pool] = {}
        self._replicas: dict[str, replicas.Replica] = {}

    def get_all(self) -> list[replicas.Replica]:
        """Return all upstreams, including leaving ones."""
        return list(self._replicas.values())

    def get(self, name: str) -> replicas.Replica | None:
        """Return the upstream with the given name, or None."""
        return self._replicas.get(name)

    def get_pool(self, service: str) -> placement.Pool | None:
        """Return the usable upstreams of a service; None if the service never had any."""
        return self._pools.get(service)

    def update(
        self,
        table_rows: Mapping[str, rows.UpstreamRow],
        halls: Mapping[str, rows.HallRow],
        now_s: float,
        *,
        is_new: bool,
    ) -> None:
        """Apply the table's upstreams.

        An upstream that is leaving or whose hall is evacuated is removed from its pool.

        :param table_rows: the table's upstreams.
        :param halls: the table's halls.
        :param now_s: monotonic time in seconds.
        :param is_new: whether upstreams seen for the first time have just been added to the table,
            so that they start slowly.
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
