"""Building the parts of one gateway process from its configuration and the operator's records."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from gullhold.decisions.gateway import Gateway
from gullhold.interface import Agreement
from gullhold.net.client_connection import MAX_RESULT_BYTES
from gullhold.net.configuration import Configuration, ConfigurationError
from gullhold.net.core import Core
from gullhold.net.counters import Counters
from gullhold.net.discovery import DiscoveryClient
from gullhold.net.flusher import Flusher
from gullhold.net.listener import Listener
from gullhold.net.startup import ResourceError, retry_while_exhausted
from gullhold.net.statement_memory import StatementMemory

if TYPE_CHECKING:  # heavy, and needed only where an operator file asks for it
    from gullhold.admission.client_identity import ClientIdentifier
    from gullhold.admission.queue import AdmissionQueue
    from gullhold.fleet.driver import Fleet
    from gullhold.operator.records import DoorRecord, FleetRecord

LISTEN_RETRY_LIMIT_S = 5.0  # for an address that is still taken, or a socket
STATEMENT_MEMORY_DIVISOR = 8  # 1/8 of the memory is for waiting statements, as much again for unread answers
RESERVED_DESCRIPTORS = 16  # beside both kinds of connections: standard ones, listener, discovery, spare
CLIENT_SOCKETS_DIVISOR = 2  # half for clients: usual ones need a third of the sockets at most
RESULTS_PER_MESSAGE = 2  # results for which the largest message has room, with its other fields


class Admission(NamedTuple):
    """The admission queue, and what tells clients apart for it."""

    queue: "AdmissionQueue"
    client_identity: "ClientIdentifier"


class GatewayParts(NamedTuple):
    """The parts of a gateway that run in threads of their own; the listener's socket is open."""

    core: Core
    listener: Listener
    discovery_client: DiscoveryClient

    def background_threads(self) -> dict[str, Callable[[], None]]:
        """Return what the threads beside the core's run, by thread name, in the order of their start."""
        assert self.core.flusher is not None, "build_parts() has made it"
        return {
            "listener": self.listener.run,
            "coordinator": self.discovery_client.run,
            "flusher": self.core.flusher.run,
        }


def build_parts(configuration: Configuration, door_record: "DoorRecord | None" = None) -> GatewayParts:
    """Build the core, the listener and the discovery client. Raises ConfigurationError.

    door_record: the operator's settings of the admission queue; None: there is no queue.
    """
    admission = None
    if door_record and door_record.on:
        admission = build_admission(door_record, configuration.agreement, configuration.seed)
    # An even share of the memory for each connection, and at least room for a result.
    max_message_bytes = max(
        configuration.memory_bytes // configuration.max_sockets, RESULTS_PER_MESSAGE * MAX_RESULT_BYTES
    )
    max_clients = configuration.max_sockets // CLIENT_SOCKETS_DIVISOR
    core = Core(
        Gateway(configuration.seed, configuration.agreement, Core.clock()),
        configuration.agreement,
        Counters(),
        max_message_bytes,
        configuration.max_sockets - max_clients - RESERVED_DESCRIPTORS,
        StatementMemory(configuration.memory_bytes // STATEMENT_MEMORY_DIVISOR),
        admission.queue if admission else None,
        door_record.come_back.field if door_record else "",
    )
    listener = _open_listener(configuration, core, max_message_bytes, max_clients, admission)
    discovery_client = DiscoveryClient(
        configuration.discovery_address,
        configuration.last_event,
        core,
        max_message_bytes,
        configuration.engine_ids,
    )
    core.discovery_lags = discovery_client.has_unapplied_events
    core.close_clients = listener.end_clients
    core.has_clients = listener.has_clients
    return GatewayParts(core, listener, discovery_client)


def build_admission(door_record: "DoorRecord", agreement: Agreement, seed: int) -> Admission:
    """Build the admission queue that an operator's record asks for. Raises ConfigurationError."""
    from gullhold.admission.client_identity import ClientIdentifier  # noqa: PLC0415  only where it is on
    from gullhold.admission.queue import AdmissionQueue  # noqa: PLC0415  only where it is on

    tenant_names = [tenant.name for tenant in agreement.tenants]
    fallback_tenant = None
    if door_record.tenants == "open":
        if door_record.others not in tenant_names:
            raise ConfigurationError(f"door.others: {door_record.others!r} is no tenant of the agreement")
        fallback_tenant = tenant_names.index(door_record.others)
    try:
        client_identity = ClientIdentifier(door_record.client, tenant_names, fallback_tenant)
    except ValueError as error:
        raise ConfigurationError(f"door.client.networks: {error}") from None
    queue = AdmissionQueue(
        seed,
        door_record,
        [tenant.share for tenant in agreement.tenants],
        agreement.profiles,
        agreement.max_retry_after_us,
        Core.clock(),
    )
    return Admission(queue, client_identity)


def build_fleet_member(
    fleet_record: "FleetRecord", configuration: Configuration, core: Core
) -> "Fleet | None":
    """Build the member of a fleet that an operator's record asks for, not started yet; None where it is off.

    Raises ConfigurationError.
    """
    if not fleet_record.on:
        return None
    try:
        from gullhold.fleet import driver  # noqa: PLC0415  heavy: only where it is on
    except ImportError as error:
        raise ConfigurationError(f"fleet needs the libraries of requirements-full.txt: {error}") from None
    try:
        return driver.Fleet(fleet_record, configuration, core)
    except driver.UnusableFleetError as error:
        raise ConfigurationError(str(error)) from None


def _open_listener(
    configuration: Configuration,
    core: Core,
    max_message_bytes: int,
    max_clients: int,
    admission: Admission | None,
) -> Listener:
    """Make the core's flusher and the listener, whose descriptors may be refused for a while."""

    def listen() -> Listener:
        return Listener(
            configuration.listen_address,
            core,
            configuration.agreement,
            max_message_bytes,
            max_clients,
            admission.client_identity if admission else None,
        )

    try:
        core.flusher = retry_while_exhausted("a pipe", Flusher)
        return retry_while_exhausted("a socket", listen, LISTEN_RETRY_LIMIT_S)
    except (OSError, ValueError, ResourceError) as error:
        raise ConfigurationError(f"can't listen on {configuration.listen_address}: {error}") from None
