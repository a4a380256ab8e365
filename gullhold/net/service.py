"""The command `serve`: runs a gateway process until SIGTERM."""

import gc
import signal
import sys
import threading

from loguru import logger

from gullhold.net.configuration import ConfigurationError
from gullhold.net.process import HANDLED_SIGNALS, Process
from gullhold.net.startup import ResourceError

THREAD_STACK_BYTES = 256 * 1024  # address space; only pages that are used take memory
SWITCH_INTERVAL_S = 0.001  # how long a thread may keep the interpreter lock; less than network delays
LOG_END_TIMEOUT_S = 0.2  # time for writing the lines that are still queued at the end
STATUS_FAILED = 1  # exit status: a thread could not be started
STATUS_UNUSABLE = 2  # exit status: the configuration can't be used


def serve(path: str | None, report_interval_s: float = 0, operator_path: str | None = None) -> int:
    """Serve until SIGTERM and return the exit status.

    report_interval_s: time between two reports in the log; 0: only one at the end.
    """
    # Signals wait until their handlers are set. Threads that are started meanwhile keep them blocked, so that
    # no signal interrupts their calls.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        process = Process(path, operator_path)
    except ConfigurationError as error:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        print(f"gullhold: {error}", file=sys.stderr)
        return STATUS_UNUSABLE
    gc.collect()
    gc.freeze()  # the objects of the start live until the end: exclude them from collection
    status = _start_and_run(process, report_interval_s)
    process.log_sink.finish(LOG_END_TIMEOUT_S)
    return status


def _start_and_run(process: Process, report_interval_s: float) -> int:
    try:
        process.start()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        logger.info(
            "serving name={} address={}", process.configuration.name, process.configuration.listen_address
        )
        return process.run(report_interval_s)
    except ResourceError as error:  # a gateway without one of its threads must not appear to serve
        logger.critical("{}", error)
        return STATUS_FAILED
