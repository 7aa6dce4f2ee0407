"""Assembles and runs the keeper program."""

import logging
import pathlib

from spoolhead._internal.keeper import log_file, service
from spoolhead._internal.models import settings
from spoolhead._internal.network import loop, peer_server
from spoolhead._internal.utils import files

logger = logging.getLogger(__name__)


def run(config: settings.KeeperSettings) -> None:
    """Run a keeper until the process is asked to stop.

    :param config: the keeper's settings.
    :raises exceptions.SpoolheadError: if the keeper cannot start.
    """
    folder = pathlib.Path(config.data_dir)
    lock = files.FolderLock(folder)
    root = loop.Loop(lambda: root.finish())
    keeper = service.KeeperService(config, log_file.LogFile(folder), root.scheduler)
    server = peer_server.PeerServer(
        root,
        (config.host, config.port),
        name=config.name,
        shared_key=config.shared_key,
        service=keeper,
    ).register(root)
    fields = {"peers": server.address, "data_dir": config.data_dir, "version": keeper.version}
    logger.info("keeper %s serves", config.name, extra={"fields": fields})
    root.run()
    del lock
