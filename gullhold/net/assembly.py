"""Builds the parts of a gateway process from its configuration and the records of the operator file."""

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
from gullhold.net.receive_memory import ReceiveMemory
from gullhold.net.startup import ResourceError, retry_while_exhausted
from gullhold.net.statement_memory import StatementMemory

if TYPE_CHECKING:  # slow to import; needed only if an operator file turns them on
    from gullhold.admission.client_identity import ClientIdentifier
    from gullhold.admission.queue import AdmissionQueue
    from gullhold.fleet.driver import FleetMember
    from gullhold.operator.records import AdmissionQueueRecord, FleetRecord

LISTEN_RETRY_LIMIT_S = 5.0  # how long to retry while the address is in use or no socket is available
STATEMENT_MEMORY_DIVISOR = 8  # 1/8 of the memory is for statements, another 1/8 for unread answers
RECEIVE_MEMORY_DIVISOR = 16  # 1/16 of the memory is for messages of clients that are not complete yet
# Descriptors not for client or engine connections but for standard streams, listener, discovery, and spares.
RESERVED_DESCRIPTORS = 16
CLIENT_SOCKETS_DIVISOR = 2  # clients get half of the sockets; they usually need at most a third
# The size limit of a message is at least this many results of the largest size, so that one fits together
# with the other fields.
RESULTS_PER_MESSAGE = 2


class Admission(NamedTuple):
    """The admission queue, and the identification of clients for it."""

    queue: "AdmissionQueue"
    client_identity: "ClientIdentifier"


class GatewayParts(NamedTuple):
    """The parts of a gateway that run in threads of their own; the listener is bound already."""

    core: Core
    listener: Listener
    discovery_client: DiscoveryClient

    def background_threads(self) -> dict[str, Callable[[], None]]:
        """Return the functions of all threads but the core's, by thread name, in the order of their start."""
        assert self.core.flusher is not None, "the core has no flusher, although build_parts() sets it"
        return {
            "listener": self.listener.run,
            "coordinator": self.discovery_client.run,
            "flusher": self.core.flusher.run,
        }


def build_parts(
    configuration: Configuration, admission_record: "AdmissionQueueRecord | None" = None
) -> GatewayParts:
    """Build the core, the listener and the discovery client. Raises ConfigurationError.

    admission_record: settings of the admission queue from the operator file; None: no queue.
    """
    admission = None
    if admission_record and admission_record.on:
        admission = build_admission(admission_record, configuration.agreement, configuration.seed)
    # An equal share of the memory for each connection, but enough for a message with the largest result.
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
        ReceiveMemory(configuration.memory_bytes // RECEIVE_MEMORY_DIVISOR),
        admission.queue if admission else None,
        admission_record.come_back.field if admission_record else "",
    )
    listener = _open_listener(configuration, core, max_message_bytes, max_clients, admission)
    discovery_client = DiscoveryClient(
        configuration.discovery_address,
        configuration.last_event_index,
        core,
        configuration.engine_ids,
    )
    core.discovery_lags = discovery_client.has_unapplied_events
    core.close_clients = listener.close_clients
    core.has_clients = listener.has_clients
    return GatewayParts(core, listener, discovery_client)


def build_admission(admission_record: "AdmissionQueueRecord", agreement: Agreement, seed: int) -> Admission:
    """Build the admission queue that a record of the operator file describes. Raises ConfigurationError."""
    from gullhold.admission.client_identity import ClientIdentifier  # noqa: PLC0415  only if it is on
    from gullhold.admission.queue import AdmissionQueue  # noqa: PLC0415  only if it is on

    tenant_names = [tenant.name for tenant in agreement.tenants]
    fallback_tenant = None
    if admission_record.tenants == "open":
        if admission_record.others not in tenant_names:
            raise ConfigurationError(
                f"door.others: {admission_record.others!r} is no tenant of the agreement"
            )
        fallback_tenant = tenant_names.index(admission_record.others)
    try:
        client_identity = ClientIdentifier(admission_record.client, tenant_names, fallback_tenant)
    except ValueError as error:
        raise ConfigurationError(f"door.client.networks: {error}") from None
    queue = AdmissionQueue(
        seed,
        admission_record,
        [tenant.share for tenant in agreement.tenants],
        agreement.profiles,
        agreement.max_retry_after_us,
        Core.clock(),
    )
    return Admission(queue, client_identity)


def build_fleet_member(
    fleet_record: "FleetRecord", configuration: Configuration, core: Core
) -> "FleetMember | None":
    """Build this gateway's fleet member, without starting it; None if the record turns the fleet off.

    Raises ConfigurationError.
    """
    if not fleet_record.on:
        return None
    try:
        from gullhold.fleet import driver  # noqa: PLC0415  slow to import: only if it is on
    except ImportError as error:
        raise ConfigurationError(f"the fleet needs the packages of requirements-full.txt: {error}") from None
    try:
        return driver.FleetMember(fleet_record, configuration, core)
    except driver.UnusableFleetError as error:
        raise ConfigurationError(str(error)) from None


def _open_listener(
    configuration: Configuration,
    core: Core,
    max_message_bytes: int,
    max_clients: int,
    admission: Admission | None,
) -> Listener:
    """Create the core's flusher and the listener; retries while the system is short of descriptors."""

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
