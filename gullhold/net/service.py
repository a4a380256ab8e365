"""The command `serve`: one gateway process until SIGTERM."""

import gc
import signal
import sys
import threading

from loguru import logger

from gullhold.net.configuration import ConfigurationError
from gullhold.net.process import HANDLED_SIGNALS, Process
from gullhold.net.startup import ResourceError

THREAD_STACK_BYTES = 256 * 1024  # of address space; only what is touched counts as memory
SWITCH_INTERVAL_S = 0.001  # the longest that one thread keeps another waiting: under any network time
LOG_END_TIMEOUT_S = 0.2  # for lines that are still queued at the end
STATUS_FAILED = 1
STATUS_UNUSABLE = 2


def serve(path: str | None, report_interval_s: float = 0, operator_path: str | None = None) -> int:
    """Serve until SIGTERM and return the exit status.

    Reports are logged at the interval (0: only at the end).
    """
    # A signal that comes before its handler is set waits for it; and no other thread's calls end for one.
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
    gc.freeze()  # what lives until the end need not be examined again
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
    except ResourceError as error:  # end with the reason: a gateway without some part must not look alive
        logger.critical("{}", error)
        return STATUS_FAILED
