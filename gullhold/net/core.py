"""The core of a gateway: the components that run on the core's thread, and how they are connected.

Reader threads post events to the core; nothing on its thread waits for a socket. The decision module decides
which request is sent to which engine, and when. Each stage of a request has a module of its own:
pending_requests, request_admission, decision_results, attempts, engine_pool, engine_replies.
"""

from collections.abc import Callable
from threading import Event
from typing import TYPE_CHECKING, Protocol

from gullhold.interface import Agreement, Demand, EngineEntry, PolicyGate
from gullhold.net import thrift
from gullhold.net.attempts import Attempts
from gullhold.net.connection_ends import ConnectionEnd
from gullhold.net.counters import Counters
from gullhold.net.decision_results import Decisions
from gullhold.net.discovery import FIRST_EVENT_TIMEOUT_US
from gullhold.net.endpoint_list import EndpointList
from gullhold.net.engine_connection import EngineConnection
from gullhold.net.engine_health import ConnectionLimits, EngineHealth
from gullhold.net.engine_pool import EnginePool
from gullhold.net.engine_replies import EngineReplies
from gullhold.net.event_loop import EventLoop
from gullhold.net.eventlog import EventLog
from gullhold.net.overload import OverloadControl
from gullhold.net.pending_requests import Client, PendingRequests
from gullhold.net.reading_turns import ReadingTurns
from gullhold.net.receive_memory import ReceiveMemory
from gullhold.net.request_admission import RequestAdmission
from gullhold.net.request_reader import Request
from gullhold.net.shutdown import GracefulShutdown
from gullhold.net.statement_memory import StatementMemory

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from gullhold.admission.queue import AdmissionQueue
    from gullhold.decisions.decision_terms import DecisionTerms
    from gullhold.decisions.fleet_budgets import ShareLookup
    from gullhold.decisions.gateway import Gateway
    from gullhold.net.client_connection import ClientConnection
    from gullhold.net.flusher import Flusher
    from gullhold.net.list_change import ListChange


class Fence(Protocol):
    """A component of the fleet whose fencing token must still be valid when an attempt is sent."""

    def fencing_token(self) -> object:
        """Return the current token: the one under which attempts are decided now."""
        ...

    def token_valid(self, token: object) -> bool:
        """Whether attempts that were decided under this token may still be sent. Thread-safe."""
        ...


def _ignore_demand(_demands: tuple[Demand, ...]) -> None:
    """Drop the demand for budgets: without a fleet nobody receives it."""


class Core(EventLoop):
    """Owns the gateway's state. Only run() and what it calls touch it; other threads use post().

    gateway: the decision module. max_message_bytes: size limit of a message. max_connections: how many
    connections to engines may hold a descriptor. statement_memory: the memory for the requests of all
    clients; receive_memory: for their messages that have not arrived completely. admission_queue: None if it
    is off. retry_after_field: name of the field of a shed answer that states the Retry-After time; empty if
    answers have none.

    To drive a core without threads, override clock() and connect, and call begin() and turn().
    """

    # Creates a connection from (endpoint, core, max_message_bytes, max_buffered_bytes, now).
    connect = EngineConnection

    def __init__(
        self,
        gateway: "Gateway",
        agreement: Agreement,
        counters: Counters,
        max_message_bytes: int,
        max_connections: int,
        statement_memory: StatementMemory,
        receive_memory: ReceiveMemory,
        admission_queue: "AdmissionQueue | None" = None,
        retry_after_field: str = "",
    ) -> None:
        super().__init__(counters)
        self.gateway = gateway
        self.agreement = agreement
        self.max_message_bytes = max_message_bytes
        self.statement_memory = statement_memory
        self.receive_memory = receive_memory
        self.admission_queue = admission_queue
        self.retry_after_field = retry_after_field.encode()
        self.flusher: Flusher | None = None  # completes writes that the socket did not accept at once
        self.event_log = EventLog()
        self.reading_turns = ReadingTurns()  # of the reader threads of clients
        # Set once the changes since the configuration was written have arrived, or can't be received.
        self.list_received = Event()
        self.shutdown_began_at = 0  # when the graceful shutdown began, in us; 0: it has not begun
        self.is_rejecting = False  # new requests are rejected at once
        self.has_ended = False  # the core's thread has finished its work
        # Set by build_parts(): closes each client connection once the requests that it has sent are answered.
        self.close_clients: Callable[[], None] = lambda: None
        self.has_clients: Callable[[], bool] = lambda: False  # whether any client connection is left
        # Set by a fleet: the receiver of the demand for budgets, the gate of its policy, and its components
        # whose fencing tokens are checked.
        self.report_demand: Callable[[tuple[Demand, ...]], None] = _ignore_demand
        self.gate: PolicyGate | None = None
        self.fences: list[Fence] = []
        self.limits = ConnectionLimits.from_agreement(agreement)
        self.overload = OverloadControl(self, agreement)
        self.decisions = Decisions(self)
        self.requests = PendingRequests(self)
        self.admission = RequestAdmission(self)
        self.attempts = Attempts(self)
        self.pool = EnginePool(self, max_connections)
        self.replies = EngineReplies(self)
        self.health = EngineHealth(self)
        self.endpoint_list = EndpointList(self)
        self.shutdown = GracefulShutdown(self)

    # The core's thread

    def run(self, configured_list: "Sequence[ListChange]") -> None:
        """Serve until the graceful shutdown is done. configured_list: the configuration's endpoint list."""
        # Guards against attempts on engines that were removed after the configuration was written.
        self.list_received.wait((self.agreement.connect_timeout_us + 2 * FIRST_EVENT_TIMEOUT_US) / 1e6)
        self.begin(configured_list)
        self.run_until_stopped()
        self.has_ended = True  # the core's state does not change any more

    def begin(self, configured_list: "Sequence[ListChange]") -> None:
        """Apply the configuration's endpoint list and start the periodic work; a timer is always set then."""
        self.tick()
        for change in configured_list:
            self.run_guarded(self.endpoint_list.apply, *change)
        self.endpoint_list.has_initial_list = True
        self.health.schedule()
        self.admission.start()
        self.overload.begin()

    def record_interval(self, interval_us: int) -> None:
        """Pass the time from one event to the next, which was already waiting, to the overload control."""
        self.overload.record_interval(interval_us)

    def after_event(self) -> None:
        """Forward queued requests to the decision module, as long as there is room for more."""
        while not self.is_rejecting and self.admission.forward_ready():
            self.run_deferred()

    def list_changed(
        self, entries: list[EngineEntry], addresses: dict[int, str], is_complete: bool, event_count: int = 1
    ) -> None:
        """From the discovery thread: apply a change of the endpoint list that combines event_count events."""
        self.post_urgent(self.endpoint_list.apply, entries, addresses, is_complete, event_count)

    # Clients

    def execute(self, client: Client, sequence_id: int, request: Request, received_at_us: int) -> None:
        """Accept a client's request for execution; received_at_us: when it was read."""
        self.requests.execute(client, sequence_id, request, received_at_us)

    def interrupt(self, client: Client, sequence_id: int) -> None:
        """Handle an interrupt: the client does not wait for this answer any more."""
        self.requests.interrupt(client, sequence_id)

    def client_ended(self, client: Client, end: ConnectionEnd, detail: str) -> None:
        """Handle the end of a client's connection; its reader has stopped. detail: details for the log."""
        self.requests.client_ended(client, end, detail)

    def check(self, client: "ClientConnection", sequence_id: int) -> None:
        """Answer a health check. The core's thread answers, so that a core that is stuck does not pass it."""
        is_serving = self.endpoint_list.has_initial_list and not self.shutdown_began_at
        if is_serving and self.gate:
            is_serving = not self.gate.rejects_new()
        client.put(thrift.encode_answer("check", sequence_id, good=is_serving))
        client.answered_check_count += 1

    def close_if_idle(self, client: "ClientConnection") -> None:
        """Allow the reader of an idle connection to end it, unless a request has arrived meanwhile."""
        if client.is_busy():
            client.end_requested = False
        else:
            client.may_end = True

    # The fleet

    def apply_policy(
        self,
        terms: "DecisionTerms",
        gate: PolicyGate,
        tenant_weights: "Sequence[float]",
        client_weights: "Mapping[str, float]",
    ) -> None:
        """Apply a policy of the fleet from now on.

        gate: consulted before each attempt; tenant_weights, client_weights: shares in the admission queue.
        """
        self.gate = gate
        if self.admission_queue:
            self.admission_queue.set_weights(tenant_weights, client_weights)
        self.decisions.call(None, self.gateway.apply_policy, terms, gate)

    def apply_budgets(
        self, shares: "ShareLookup", report_demand: Callable[[tuple[Demand, ...]], None]
    ) -> None:
        """Apply budgets of the fleet from now on; report_demand receives the demand of queued commands."""
        self.report_demand = report_demand
        self.decisions.call(None, self.gateway.apply_budgets, shares)

    def fencing_tokens(self) -> tuple[object, ...]:
        """Return the tokens under which attempts are decided now."""
        return tuple(fence.fencing_token() for fence in self.fences)

    def are_tokens_valid(self, tokens: tuple[object, ...]) -> bool:
        """Whether attempts that were decided under these tokens may still be sent. Thread-safe.

        Guards against a process that was suspended between the decision and the write: another member may
        hold the role by then.
        """
        return all(fence.token_valid(token) for fence, token in zip(self.fences, tokens, strict=True))

    def begin_shutdown(self) -> None:
        """Begin the graceful shutdown, as for a planned restart."""
        self.shutdown.start()
