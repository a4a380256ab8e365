"""A gateway process: its threads, signal handling, reports in the log, and end."""

import os
import signal
import sys
import time
from collections.abc import Callable, Mapping

from loguru import logger

from gullhold.net.assembly import build_fleet_member, build_parts
from gullhold.net.configuration import ConfigurationError, load_configuration, load_operator_file
from gullhold.net.configuration_reload import ConfigurationReload, file_version
from gullhold.net.logsink import LogSink
from gullhold.net.process_report import report_lines
from gullhold.net.signals import CORE_ENDED, Signals
from gullhold.net.startup import ResourceError, retry_while_exhausted, start_thread

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
LOG_LEVEL_VARIABLE = "GULLHOLD_LOG"
DEFAULT_LOG_LEVEL = "INFO"
LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"
FLEET_END_TIMEOUT_S = 1.0  # time for writing the results of scheduled commands: a few calls of the store
FAILURE_DELAY_S = 0.01  # pause of the main thread after an unexpected exception


class Process:
    """The parts of a gateway process, from reading its files until it ends."""

    def __init__(self, path: str | None, operator_path: str | None) -> None:
        """Read the files and open the listener. Raises ConfigurationError."""
        # Taken before the file is read: if the file is replaced meanwhile, its version differs.
        version = file_version(path) if path else None
        self.configuration = load_configuration(path)
        assert path, "the path is empty, although load_configuration() raises for that"
        operator_file = load_operator_file(operator_path)
        self._parts = build_parts(self.configuration, operator_file.door if operator_file else None)
        self.core = self._parts.core
        self.fleet = None
        if operator_file:
            self.fleet = build_fleet_member(operator_file.fleet, self.configuration, self.core)
        try:
            self.log_sink = self._redirect_log()
            self.signals = retry_while_exhausted("a pipe", lambda: Signals(HANDLED_SIGNALS))
        except ResourceError as error:
            raise ConfigurationError(str(error)) from None
        self._started_s = time.monotonic()
        discovery_client = self._parts.discovery_client
        self.configuration_reload = ConfigurationReload(path, version, discovery_client)
        discovery_client.on_stream_end = self.configuration_reload.reload_if_changed
        if self.fleet and self.fleet.budgets:
            discovery_client.may_call = self.fleet.budgets.may_call_discovery

    def start(self) -> None:
        """Start all threads. Raises ResourceError if the system keeps refusing one."""
        for name, run in self._parts.background_threads().items():
            start_thread(run, name)
        start_thread(self._run_core, "core")
        if self.fleet:
            self.fleet.start()

    def run(self, report_interval_s: float) -> int:
        """Serve until the core has ended; return the exit status. Interval 0: no periodic reports."""
        actions: dict[int, Callable[[], None]] = {
            signal.SIGTERM: self.begin_shutdown,
            signal.SIGINT: self.begin_shutdown,
            signal.SIGHUP: self.configuration_reload.reload,
            signal.SIGUSR1: self.log_recent_events,
        }
        handle_signals_until_end(self.signals, actions, self.log_report, report_interval_s)
        if self.fleet:
            self.fleet.stopped.wait(FLEET_END_TIMEOUT_S)
        self.log_report()
        return 0 if self.core.stopped else 1

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown of the core and leave the fleet."""
        self.core.post_urgent(self.core.begin_shutdown)
        if self.fleet:
            self.fleet.leave()

    def log_report(self) -> None:
        """Log a report: times, memory, threads, descriptors and counters."""
        title = "counters:"
        for line in report_lines(time.monotonic() - self._started_s, self.core.counters):
            logger.info("{} {}", title, line)
            title = "counters continued:"

    def log_recent_events(self) -> None:
        """Log a report and the recent events of requests and connections."""
        self.log_report()
        for line in self.core.event_log.lines():
            logger.info("recent {}", line)

    def _redirect_log(self) -> LogSink:
        """Log to standard error through a sink that never blocks."""
        sink = retry_while_exhausted("thread log", lambda: LogSink(sys.stderr, self.core.counters))
        logger.remove()
        logger.add(sink.put, level=os.environ.get(LOG_LEVEL_VARIABLE, DEFAULT_LOG_LEVEL), format=LOG_FORMAT)
        return sink

    def _run_core(self) -> None:
        try:
            self.core.run(self.configuration.list_changes)
        except Exception:  # noqa: BLE001  the outermost loop of the core's thread
            logger.exception("core thread failed")
        finally:
            self.signals.wake()  # without its core the process must end


def handle_signals_until_end(
    signals: Signals,
    actions: Mapping[int, Callable[[], None]],
    log_report: Callable[[], None],
    report_interval_s: float,
) -> None:
    """Run the actions of received signals and log periodic reports (interval 0: none) until the core ends."""
    report_due_s = time.monotonic() + report_interval_s
    received: tuple[int, ...] = ()
    while CORE_ENDED not in received:
        try:
            timeout_s = max(0.0, report_due_s - time.monotonic()) if report_interval_s else None
            received = signals.wait(timeout_s)
            for number in received:
                if number in actions:
                    actions[number]()
            if report_interval_s and time.monotonic() >= report_due_s:
                report_due_s += report_interval_s
                log_report()
        except Exception:  # noqa: BLE001  a fault here must not end all open requests
            logger.exception("main thread failed, continuing")
            time.sleep(FAILURE_DELAY_S)
