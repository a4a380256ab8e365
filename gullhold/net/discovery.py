"""The client of the discovery service: follows the watch events of the endpoint list."""

import select
import socket
import time
from collections.abc import Callable
from contextlib import closing
from threading import Event
from typing import TYPE_CHECKING

from loguru import logger

from gullhold.net import US_PER_MS, US_PER_S, connection_ends, event_stream, split_host_port
from gullhold.net.connection import Connection
from gullhold.net.connection_ends import ConnectionEnd, ProtocolError
from gullhold.net.engine_ids import EngineIds
from gullhold.net.list_change import ListChangeBatch, parse_event
from gullhold.net.list_rebuild import ListRebuild

if TYPE_CHECKING:  # the core imports this module
    from gullhold.net.core import Core

# Within this time a service that has new events sends one: twice the time that the protocol allows for
# messages in transit.
FIRST_EVENT_TIMEOUT_US = 100_000
BATCH_INTERVAL_S = 0.01  # after a call to the core, events are gathered for this long before the next
FAILURE_DELAY_S = 0.1  # pause after an unexpected exception, before the stream is followed again
# The service sends at least the index of its last event once a second: after this time two are missing.
SILENCE_LIMIT_US = 2_000_000


def is_readable_within(sock: socket.socket, timeout_us: int) -> bool:
    """Whether bytes or the end of the stream arrive before the timeout."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(timeout_us / US_PER_MS))


class DiscoveryClient:
    """Follows the event stream while the process runs, and passes changes of the endpoint list to the core.

    address: HOST:PORT, None: the list never changes; last_index: index of the last event that is known.

    An event that can't be read is asked for again. If it then can't be read either, the list is rebuilt from
    all events that can be, and the stream goes on behind it: otherwise no later event would ever be applied.

    on_stream_end is called from this thread whenever the stream has ended. may_call returns whether the
    service may be called now: a fleet can have a budget of such calls.
    """

    def __init__(
        self,
        address: str | None,
        last_index: int,
        core: "Core",
        engine_ids: EngineIds,
    ) -> None:
        self.engine_ids = engine_ids
        self.on_stream_end: Callable[[], None] = lambda: None
        self.may_call: Callable[[], bool] = lambda: True
        self._last_index = last_index
        self._core = core
        self._address = split_host_port(address) if address else None
        self._connection: Connection | None = None
        self._address_changed = Event()
        self._last_applied_s = float("-inf")  # monotonic time of the last call to the core
        self._is_receiving = False  # bytes are being read whose changes were not passed to the core yet
        self._malformed_after: int | None = None  # last known event when the stream was last malformed
        self._must_rebuild = False  # the next event can't be read

    def change_address(self, address: str) -> None:
        """Follow the stream at this HOST:PORT from now on, from the last event. Thread-safe."""
        self._address = split_host_port(address)
        self._address_changed.set()
        connection = self._connection  # a connection opened after this line uses the new address
        if connection is not None:
            connection.shutdown()

    def has_unapplied_events(self) -> bool:
        """Whether anything has arrived that was not passed to the core yet. Thread-safe."""
        try:
            connection = self._connection
            # Checked in this order, as bytes move from the socket to this object.
            return bool(connection and connection.is_readable()) or self._is_receiving
        except (OSError, ValueError):  # the connection is being closed
            return False

    def run(self) -> None:
        """Follow the stream; reconnect when it ends, falls silent, is malformed or its address changes."""
        retry_interval_s = self._core.agreement.connect_timeout_us / US_PER_S
        while True:
            try:
                self._follow_once(retry_interval_s)
            except Exception:  # noqa: BLE001  without this thread the list would become stale
                self._core.counters.add("internal_faults")
                logger.exception("discovery client failed, restarting")
                time.sleep(FAILURE_DELAY_S)

    def _follow_once(self, retry_interval_s: float) -> None:
        """Follow the stream until it ends, then pause; without an address or permission to call only wait."""
        began_s = time.monotonic()
        self._address_changed.clear()
        address = self._address  # read after clear(): a later change sets the event again
        if address is None:
            self._core.list_received.set()
            self._address_changed.wait()
            return
        if not self.may_call():
            self._address_changed.wait(retry_interval_s)
            return
        end, detail = self._follow_until_end(address, retry_interval_s)
        self._core.list_received.set()  # the service can't be reached: serve with the known list
        self._core.counters.add(f"discovery_streams_ended_{end.value}")
        logger.warning(
            "discovery stream ended, reconnecting reason={} detail={!r} after_event={}",
            end.value,
            detail,
            self._last_index,
        )
        self.on_stream_end()
        elapsed_s = time.monotonic() - began_s
        self._address_changed.wait(max(0.0, retry_interval_s - elapsed_s))

    def _follow_until_end(
        self, address: tuple[str, int], connect_timeout_s: float
    ) -> tuple[ConnectionEnd, str]:
        """Follow the stream; return how it ended, and the details for the log."""
        try:
            return self._follow(address, connect_timeout_s), ""
        except TimeoutError:
            return ConnectionEnd.SILENT, ""
        except ProtocolError as error:
            self._must_rebuild = self._malformed_after == self._last_index
            self._malformed_after = self._last_index
            return ConnectionEnd.MALFORMED, str(error)
        except Exception as error:  # noqa: BLE001  the known list stays valid, and run() reconnects
            return connection_ends.classify_exception(error, connecting=True)

    def _follow(self, address: tuple[str, int], connect_timeout_s: float) -> ConnectionEnd:
        sock = socket.create_connection(address, timeout=connect_timeout_s or None)
        with closing(Connection(sock)) as connection:
            self._connection = connection
            try:
                rebuild = ListRebuild() if self._must_rebuild else None
                stream = event_stream.EventStream(
                    0 if rebuild else self._last_index, event_stream.MAX_EVENT_BYTES, rebuild is not None
                )
                sock.sendall(b"follow %d\n" % stream.last_index)
                # A service that has new events sends them at once: if none comes, the known list is current.
                if not is_readable_within(sock, FIRST_EVENT_TIMEOUT_US):
                    self._core.list_received.set()
                while address == self._address and self._receive(stream, sock):
                    if rebuild:
                        self._rebuild_list(rebuild, stream)
                        rebuild = None if stream.has_caught_up else rebuild
                    else:
                        self._apply_events(stream)
                    self._core.list_received.set()
                return ConnectionEnd.CLOSED_BY_PEER if address == self._address else ConnectionEnd.RETIRED
            finally:
                self._is_receiving = False
                self._connection = None

    def _receive(self, stream: event_stream.EventStream, sock: socket.socket) -> int:
        """Read some bytes of the stream; return how many, 0 at its end. Raises TimeoutError."""
        self._is_receiving = False
        # When thousands of events arrive within seconds, a call for each would cost more than its changes do.
        if time.monotonic() - self._last_applied_s < BATCH_INTERVAL_S:
            time.sleep(BATCH_INTERVAL_S)
        if not is_readable_within(sock, SILENCE_LIMIT_US):
            raise TimeoutError
        # Set before the read, so that has_unapplied_events() sees the bytes in the socket or by this flag.
        self._is_receiving = True
        return stream.receive(sock)

    def _rebuild_list(self, rebuild: ListRebuild, stream: event_stream.EventStream) -> None:
        """Add the events that have arrived to the list; pass it to the core once it is the current one."""
        unreadable = stream.unreadable
        for event in stream.events():
            try:
                rebuild.add(parse_event(event, self._core.agreement, self.engine_ids, unreadable))
            except ProtocolError as error:
                unreadable.append(str(error))
        if not stream.has_caught_up:
            return
        self._core.list_changed(*rebuild.result(), rebuild.event_count)
        self._core.counters.add("discovery_lists_rebuilt")
        self._core.counters.add("discovery_events_unreadable", len(unreadable))
        logger.error(
            "endpoint list rebuilt without what could not be read"
            " after_event={} up_to_event={} unreadable={} first={!r}",
            self._last_index,
            stream.last_index,
            len(unreadable),
            unreadable[0] if unreadable else "",
        )
        self._last_index = stream.last_index
        self._last_applied_s = time.monotonic()
        self._must_rebuild = False
        stream.is_lenient = False

    def _apply_events(self, stream: event_stream.EventStream) -> None:
        """Pass the events that have arrived to the core, as far as possible in one call."""
        batch = ListChangeBatch()
        try:
            for event in stream.events():
                change = parse_event(event, self._core.agreement, self.engine_ids)
                if batch.must_precede(change):
                    self._apply(batch)
                    batch = ListChangeBatch()
                batch.add(change, event["index"])
                if change.is_complete:
                    self._apply(batch)
                    batch = ListChangeBatch()
        finally:  # the events before a malformed line are applied
            self._apply(batch)

    def _apply(self, batch: ListChangeBatch) -> None:
        if not batch.event_count:
            return
        self._core.list_changed(batch.entries, batch.addresses, batch.is_complete, batch.event_count)
        self._last_index = batch.last_index
        self._last_applied_s = time.monotonic()
