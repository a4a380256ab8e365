"""Puts the parts together: the configuration, the threads, the signals."""

import gc
import os
import signal
import socket
import sys
import threading
import time

from loguru import logger

from gullhold.admission.client_identity import Whose
from gullhold.admission.queue import Door
from gullhold.decisions.gateway import Gateway
from gullhold.net import host_port, thrift
from gullhold.net.client_connection import RESULT_MOST
from gullhold.net.configuration import ConfigurationError, load_configuration
from gullhold.net.configuration_reload import Reread, mark
from gullhold.net.connection_ends import Malformed
from gullhold.net.core import Core
from gullhold.net.counters import Counters
from gullhold.net.discovery import Coordinator
from gullhold.net.flusher import Flusher
from gullhold.net.listener import Listener
from gullhold.net.logsink import LogSink
from gullhold.net.signals import ENDED, Signals
from gullhold.net.startup import Refused, retried, start_thread
from gullhold.net.statement_memory import StatementMemory

STACK = 256 * 1024  # bytes of address space a thread; only what is touched counts as memory
SWITCH_S = 0.001  # the longest that one thread keeps another waiting: under any network time that matters
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
LOG_S = 0.2  # at the end, for lines still unwritten
FLEET_S = 1.0  # at the end, for what came of the fleet's own commands: a few calls of the register
LISTEN_PATIENCE_S = 5.0  # s in which an address that is still taken, or a socket, is asked for again
FAULT_WAIT_S = 0.01  # s between turns of the main thread after a fault
LOG_LINE_MOST = 240  # characters of a line of counters: what reads logs may cut lines at 300
ROOM_PART = 8  # of the memory, for statements that wait, and as much for answers that are not read
OWN_SOCKETS = 16  # descriptors beside clients and links: standard ones, listener, coordinator, spare


def door_of(rule, agreement, seed):
    """(the door, what tells clients apart) that an operator's DoorRecord asks for; Nones where it is off."""
    if not rule.on:
        return None, None
    names = [tenant.name for tenant in agreement.tenants]
    if rule.tenants == "open" and rule.others not in names:
        raise ConfigurationError(f"door.others: {rule.others!r} is no tenant of the agreement")
    try:
        whose = Whose(rule.client, names, names.index(rule.others) if rule.tenants == "open" else None)
    except ValueError as fault:
        raise ConfigurationError(f"door.client.networks: {fault}") from None
    return Door(
        seed,
        rule,
        [tenant.share for tenant in agreement.tenants],
        agreement.profiles,
        agreement.max_retry_after_us,
        Core.clock(),
    ), whose


def assemble(configuration, rule=None):
    """The core, and what its other long-lived threads run, by name; the listener is open afterwards.

    rule: the operator's DoorRecord, None: no door.
    """
    agreement = configuration.agreement
    door, whose = door_of(rule, agreement, configuration.seed) if rule else (None, None)
    # The largest message: an even part of the memory for each connection, and always room for a result.
    most = max(configuration.memory_bytes // configuration.max_sockets, 2 * RESULT_MOST)
    clients = configuration.max_sockets // 2  # usual ones hold a third at most; others must find room too
    core = Core(
        Gateway(configuration.seed, agreement, Core.clock()),
        agreement,
        Counters(),
        most,
        configuration.max_sockets - clients - OWN_SOCKETS,
        StatementMemory(configuration.memory_bytes // ROOM_PART),
        door,
        rule.come_back.field if rule else "",
    )
    try:
        core.flusher = retried("a pipe", Flusher)
        listener = retried(
            "a socket",
            lambda: Listener(configuration.listen_address, core, agreement, most, clients, whose),
            LISTEN_PATIENCE_S,
        )
    except (OSError, ValueError, Refused) as fault:
        raise ConfigurationError(f"can't listen on {configuration.listen_address}: {fault}") from None
    coordinator = Coordinator(
        configuration.discovery_address, configuration.last_event, core, most, configuration.engine_ids
    )
    core.discovery_lags, core.close_clients = coordinator.behind, listener.end_clients
    return core, {"listener": listener.run, "coordinator": coordinator.run, "flusher": core.flusher.run}


def operator_file(path):
    """What the operator file at a path says, or None; ConfigurationError where it can't be used."""
    if not path:
        return None
    try:
        from gullhold.operator import records  # noqa: PLC0415  heavy: only where there is such a file
    except ImportError as fault:
        raise ConfigurationError(
            f"an operator file needs the libraries of requirements-full.txt: {fault}"
        ) from None
    try:
        return records.load(path)
    except (OSError, records.Bad) as fault:
        raise ConfigurationError(str(fault)) from None


def fleet_of(rule, configuration, core):
    """The member of a fleet that an operator's FleetRecord asks for, not begun yet; None where it is off."""
    if not rule.on:
        return None
    try:
        from gullhold.fleet import driver  # noqa: PLC0415  heavy: only where it is on
    except ImportError as fault:
        raise ConfigurationError(f"fleet needs the libraries of requirements-full.txt: {fault}") from None
    try:
        return driver.Fleet(rule, configuration, core)
    except driver.Unusable as fault:
        raise ConfigurationError(str(fault)) from None


def log_to(sink):
    """From here on the log goes to this sink, which is returned."""
    logger.remove()
    logger.add(
        sink.put, level=os.environ.get("GULLHOLD_LOG", "INFO"), format="{time:HH:mm:ss.SSS} {level} {message}"
    )
    return sink


def wait_for_end(signals, acts, report, report_s):
    """Act on signals, and report so often (0: never), until the core has ended."""
    due, came = time.monotonic() + report_s, ()
    while ENDED not in came:
        try:
            came = signals.wait(max(0.0, due - time.monotonic()) if report_s else None)
            for number in came:
                if number in acts:
                    acts[number]()
            if report_s and time.monotonic() >= due:
                due += report_s
                report()
        except Exception:  # guards against a fault beside the service that ends the process with all it owes
            logger.exception("the main thread failed, and goes on")
            time.sleep(FAULT_WAIT_S)


class Process:
    """The parts of one gateway process, from what its files say to its end."""

    def __init__(self, path, operator):
        """Read the files and take the address; ConfigurationError where that can't be."""
        self.seen = mark(path) if path else None  # before it is read: one that is replaced meanwhile differs
        self.configuration = load_configuration(path)
        written = operator_file(operator)
        self.core, self.runs = assemble(self.configuration, written and written.door)
        self.fleet = fleet_of(written.fleet, self.configuration, self.core) if written else None
        try:
            self.sink = log_to(retried("thread log", lambda: LogSink(sys.stderr, self.core.counters)))
            self.signals = retried("a pipe", lambda: Signals(SIGNALS))
        except Refused as fault:
            raise ConfigurationError(str(fault)) from None
        self.began = time.monotonic()
        coordinator = self.runs["coordinator"].__self__
        self.reread = Reread(path, self.seen, coordinator)
        coordinator.lost = self.reread.if_changed
        if self.fleet and self.fleet.budgets:
            coordinator.may_call = self.fleet.budgets.may_call_discovery

    def start(self):
        """Start all threads; Refused where the system goes on refusing one."""
        for name, run in (*self.runs.items(), ("core", self._run_core)):
            start_thread(run, name)
        if self.fleet:
            self.fleet.start()

    def run(self, report_s):
        """Serve until the core has ended; the exit status."""
        acts = {
            signal.SIGTERM: self.leave,
            signal.SIGINT: self.leave,
            signal.SIGHUP: self.reread.now,
            signal.SIGUSR1: self.dump,
        }
        wait_for_end(self.signals, acts, self.report, report_s)
        if self.fleet:
            self.fleet.gone.wait(FLEET_S)
        self.report()
        return 0 if self.core.stopped else 1

    def leave(self):
        """A planned restart."""
        self.core.post_urgent(self.core.leave)
        if self.fleet:
            self.fleet.leave()

    def report(self):
        """Log the counters."""
        parts = [
            f"up {time.monotonic() - self.began:.1f} s",
            f"CPU {time.process_time():.2f} s",
            *resident(),
            *self.core.counters.lines(),
        ]
        for place, line in enumerate(joined(parts, LOG_LINE_MOST)):
            logger.info("{} {}", "counters, continued:" if place else "counters:", line)

    def dump(self):
        """SIGUSR1: the counters, and the last events."""
        self.report()
        for line in self.core.events.lines():
            logger.info("kept {}", line)

    def _run_core(self):
        try:
            self.core.run(self.configuration.list_changes)
        except Exception:
            logger.exception("the core ended")
        finally:
            self.signals.wake()  # a gateway without its core must not live on


def serve(path, report_s=0, operator=None):
    """Serve until SIGTERM, with the counters logged so often (0: only at the end); the exit status."""
    # A signal that comes before its handler stands waits for it; and no other thread's calls end for one.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH_S)
    try:
        process = Process(path, operator)
    except ConfigurationError as fault:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        print(f"gullhold: {fault}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()  # what lives to the end need not be looked through again
    try:
        process.start()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        logger.info("serving {} on {}", process.configuration.name, process.configuration.listen_address)
        status = process.run(report_s)
    except Refused as fault:  # in order, and with the reason: half a gateway must not look alive
        logger.critical("{}", fault)
        status = 1
    process.sink.finish(LOG_S)
    return status


def explain(path, operator=None):
    """Print what a configuration, or an operator file, says; the exit status."""
    try:
        if operator:
            from gullhold.operator import records  # noqa: PLC0415

            print("\n".join(records.lines(operator_file(operator))))
            return 0
        configuration = load_configuration(path)
    except ConfigurationError as fault:
        print(f"gullhold: {fault}", file=sys.stderr)
        return 2
    agreement = configuration.agreement
    print(
        f"listens on {configuration.listen_address}, coordinator {configuration.discovery_address}, "
        f"{configuration.memory_bytes >> 20} MB, {configuration.max_sockets} descriptors, "
        f"list of event {configuration.last_event}"
    )
    for profile in agreement.profiles:
        print(f"profile {profile}")
    for tenant in agreement.tenants:
        print(f"tenant {tenant}")
    print(agreement._replace(profiles=(), tenants=()))
    return 0


def asked(address, timeout_s):
    """Whether the gateway at a (host, port) serves, as clients ask it; None: nobody there yet."""
    decoder = thrift.Decoder(thrift.CHECK_MOST)
    try:
        with socket.create_connection(address, timeout=timeout_s) as sock:
            sock.sendall(thrift.check_call(1))
            while (frame := next(decoder.frames(), None)) is None and decoder.buffer.receive(sock):
                pass
            return frame is not None and thrift.is_good(frame)
    except ConnectionRefusedError:
        return None


def check(address, timeout_s):
    """Ask a gateway whether it serves; the exit status."""
    try:
        good = asked(host_port(address), timeout_s)
        if good is None:
            raise ConnectionRefusedError("nobody listens there")
    except (OSError, ValueError, Malformed) as fault:
        print(f"gullhold: {address}: {fault}", file=sys.stderr)
        return 1
    print("serves" if good else "does not serve")
    return 0 if good else 1


def joined(parts, most):
    """These parts in as few lines of at most so many characters as they fill, in order; no part is cut.

    Guards against readers of logs that cut long lines: two thirds of an incident's counters were lost.
    """
    line = ""
    for part in parts:
        if line and len(line) + len(part) + 2 > most:
            yield line
            line = ""
        line = f"{line}; {part}" if line else part
    if line:
        yield line


def resident():
    """Memory, threads and descriptors of this process, as the system tells them."""
    try:
        with open("/proc/self/status", encoding="ascii") as file:
            rows = dict(line.split(":", 1) for line in file)
        held = len(os.listdir("/proc/self/fd"))
    except OSError:
        return []
    return [
        f"{name}: {rows[key].strip()}"
        for name, key in (("resident most", "VmHWM"), ("resident", "VmRSS"), ("threads", "Threads"))
        if key in rows
    ] + [f"descriptors: {held}"]
