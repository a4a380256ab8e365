"""Runs the decision module of one gateway for each instance in the simulator, by batches of events."""

import traceback
from math import isfinite

from gullhold.agreement import microseconds, parse_settings, read_agreement
from gullhold.decisions.gateway import Gateway
from gullhold.interface import EngineEntry, Result
from gullhold.simulator_adapter import wire
from gullhold.simulator_adapter.actions import encode_result, text_record
from gullhold.simulator_adapter.events import (
    AnswerBegan,
    AttemptEnded,
    ClientLeft,
    CommandArrived,
    EndpointsAnnounced,
    Event,
    NewInstance,
    Retired,
    StatusNoted,
    TimerFired,
    decode,
    decode_page,
    split_records,
)
from gullhold.simulator_adapter.wire import ActionCode, ArrivalOption, EventCode, Scope

MAX_TRACEBACK_LINES = 6  # the last ones, sent to the simulator: they have the last call and the error


class Host:
    """The gateways of all instances, and the numbered lists of engines that events refer to."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}  # by instance
        self.engine_lists: dict[int, list[EngineEntry]] = {}  # by number
        self.now = 0  # time of the batch (us)

    def reply(self, body: bytes) -> bytes:
        """Handle a batch, given without its length field; return the reply frame.

        Raises struct.error or ValueError if the batch is malformed.
        """
        no_length = bytes(wire.LENGTH.size)
        header = no_length + body[: wire.BATCH_HEADER.size - wire.LENGTH.size]
        _, now_s, number = wire.BATCH_HEADER.unpack(header)
        self.now = microseconds(now_s)
        actions: list[bytes] = []
        for code, fields in split_records(body):
            if code == EventCode.PAGE:
                list_number, entries = decode_page(fields)
                self.engine_lists[list_number] = entries
                continue
            event = decode(code, fields)
            if event is not None:
                actions.extend(self._actions(event))
        size = wire.REPLY_HEADER.size + sum(len(action) for action in actions)
        return wire.REPLY_HEADER.pack(size, len(actions), number) + b"".join(actions)

    def _actions(self, event: Event) -> list[bytes]:
        """Deliver an event and encode its results, or an exception in the decision module, as records."""
        try:
            results = self._deliver(event)
        except Exception:  # noqa: BLE001  the protocol reports any exception of a gateway in a record
            text = "".join(traceback.format_exc().splitlines(True)[-MAX_TRACEBACK_LINES:])
            return [text_record(ActionCode.BUG, event.instance, text)]
        return [encode_result(event.instance, result) for result in results]

    def _deliver(self, event: Event) -> list[Result]:
        """Deliver an event to its gateway; events of unknown instances are ignored."""
        if isinstance(event, NewInstance):
            agreement = read_agreement(parse_settings(event.settings))
            self.gateways[event.instance] = Gateway(event.seed, agreement, self.now)
            return []
        gateway = self.gateways.get(event.instance)
        if gateway is None:
            return []
        if isinstance(event, Retired):
            del self.gateways[event.instance]
            return []
        return self._call(gateway, event)

    def _call(self, gateway: Gateway, event: Event) -> list[Result]:
        """Call the method of the gateway that handles an event."""
        match event:
            case EndpointsAnnounced():
                return self._announce(gateway, event)
            case CommandArrived():
                return self._submit(gateway, event)
            case AnswerBegan():
                return gateway.answer_began(self.now, event.command, event.attempt)
            case StatusNoted(_, command, attempt, kind, value):
                return gateway.attempt_status(self.now, command, attempt, kind, value)
            case AttemptEnded():
                return self._attempt_ended(gateway, event)
            case ClientLeft():
                return gateway.client_left(self.now, event.command)
            case TimerFired():
                return gateway.timer_fired(self.now, event.token)
        raise TypeError(f"no call for {event!r}")

    def _announce(self, gateway: Gateway, event: EndpointsAnnounced) -> list[Result]:
        if event.scope == Scope.FAILED:
            return []
        entries = self.engine_lists.get(event.list_number, [])
        return gateway.update_engines(self.now, entries, event.scope != Scope.DELTA)

    def _submit(self, gateway: Gateway, event: CommandArrived) -> list[Result]:
        has_estimate = ArrivalOption.HAS_COST_HINT in event.options and isfinite(event.work_s)
        return gateway.submit(
            self.now,
            event.command,
            event.profile,
            event.tenant,
            event.ordering_key,
            microseconds(event.timeout_at_s),
            microseconds(event.work_s) if has_estimate else 0,
            event.need_mb,
            int(event.dataset) if isfinite(event.dataset) else 0,
            ArrivalOption.IS_REPEAT in event.options,
        )

    def _attempt_ended(self, gateway: Gateway, event: AttemptEnded) -> list[Result]:
        return gateway.attempt_ended(
            self.now,
            event.command,
            event.attempt,
            event.outcome,
            event.is_closed,
            microseconds(event.latency_s),
            event.work_us,
            event.need_mb,
            event.report,
        )
