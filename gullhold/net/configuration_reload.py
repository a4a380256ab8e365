"""Reading the configuration file again while serving: only the discovery service's address may change."""

import json
import os
from typing import NamedTuple

from loguru import logger

from gullhold.net.discovery import DiscoveryClient


class FileVersion(NamedTuple):
    """Facts about a file that change whenever it is replaced or written."""

    inode: int
    modified_ns: int
    size: int


def file_version(path: str) -> FileVersion | None:
    """Return the version of the file at a path; None where there is no file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)


class ConfigurationReload:
    """Reads the discovery service's address again: on SIGHUP, and where its stream can't be followed.

    version: the file's version from before it was read at the start. An unusable file changes nothing.
    """

    def __init__(self, path: str, version: FileVersion | None, discovery_client: DiscoveryClient) -> None:
        self._path = path
        self._version = version
        self._discovery_client = discovery_client

    def reload(self) -> None:
        """Read the file now; the action on SIGHUP."""
        self._version = file_version(self._path)
        try:
            with open(self._path, encoding="utf-8") as file:
                address = json.load(file)["coordinator"]
            self._discovery_client.change_address(address)
            logger.info("configuration reloaded discovery_address={}", address)
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            logger.error("configuration rejected, previous one kept path={} error={!r}", self._path, error)

    def reload_if_changed(self) -> None:
        """Read the file if it has changed since it was last read.

        Guards against a move that no SIGHUP announced: the file may be replaced while we start, when none is
        sent, and a discovery service that has moved refuses for ever. Harmless where the file did not change.
        """
        version = file_version(self._path)
        if version is not None and version != self._version:
            self.reload()
