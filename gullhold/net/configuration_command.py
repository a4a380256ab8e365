"""The command `config`: checks and prints a configuration file or an operator file."""

import sys
from collections.abc import Iterator

from gullhold.net.configuration import (
    MEGABYTE_SHIFT,
    Configuration,
    ConfigurationError,
    load_configuration,
    load_operator_file,
)

STATUS_UNUSABLE = 2  # exit status: the file can't be used


def print_configuration(path: str | None, operator_path: str | None = None) -> int:
    """Print the operator file if a path is given, else the configuration; return the exit status."""
    try:
        if operator_path:
            lines = _operator_file_lines(operator_path)
        else:
            lines = list(_configuration_lines(load_configuration(path)))
    except ConfigurationError as error:
        print(f"gullhold: {error}", file=sys.stderr)
        return STATUS_UNUSABLE
    print("\n".join(lines))
    return 0


def _operator_file_lines(path: str) -> list[str]:
    operator_file = load_operator_file(path)
    if operator_file is None:  # no path was given
        return []
    from gullhold.operator import records  # noqa: PLC0415  slow to import: only if there is such a file

    return list(records.setting_lines(operator_file))


def _configuration_lines(configuration: Configuration) -> Iterator[str]:
    agreement = configuration.agreement
    yield (
        f"listens on {configuration.listen_address}, coordinator {configuration.discovery_address}, "
        f"{configuration.memory_bytes >> MEGABYTE_SHIFT} MB, {configuration.max_sockets} descriptors, "
        f"list of event {configuration.last_event_index}"
    )
    for profile in agreement.profiles:
        yield f"profile {profile}"
    for tenant in agreement.tenants:
        yield f"tenant {tenant}"
    yield str(agreement._replace(profiles=(), tenants=()))
