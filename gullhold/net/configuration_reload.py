"""Reloads the configuration file of a running gateway; only the discovery address takes effect."""

import json
import os
from typing import NamedTuple

from loguru import logger

from gullhold.net.discovery import DiscoveryClient


class FileVersion(NamedTuple):
    """Properties of a file that change whenever it is replaced or written."""

    inode: int
    modified_ns: int
    size: int


def file_version(path: str) -> FileVersion | None:
    """Return the version of the file at a path; None if there is no such file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)


class ConfigurationReload:
    """Reloads the address of the discovery service: on SIGHUP, and after the end of each event stream.

    version: the version that the file had before it was read at the start. An unusable file changes nothing.
    """

    def __init__(self, path: str, version: FileVersion | None, discovery_client: DiscoveryClient) -> None:
        self._path = path
        self._version = version
        self._discovery_client = discovery_client

    def reload(self) -> None:
        """Read the file now, as SIGHUP requests."""
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

        Guards against a new address that no SIGHUP announced: none is sent while the gateway starts, and a
        discovery service that has moved refuses connections at its old address for ever.
        """
        version = file_version(self._path)
        if version is not None and version != self._version:
            self.reload()
