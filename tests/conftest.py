"""For all tests."""

import pytest
from loguru import logger
from serving import Gateway, start_process

from gullhold.testing import gateway_log
from gullhold.testing.client import Caller
from gullhold.testing.deployment import config

logger.remove()  # gateways that run inside a test would go on logging to a stream that it has closed


@pytest.fixture(autouse=True)
def no_gateway_logs_a_fault(request):
    """Fails a test whose gateways logged a fault of the program that the test does not cause on purpose."""
    gateway_log.take_recorded()
    yield
    faults = [line for text in gateway_log.take_recorded() for line in gateway_log.fault_lines(text)]
    if not request.node.get_closest_marker("causes_faults"):
        assert not faults


@pytest.fixture
def start_gateway(tmp_path):
    """Starts a gateway over some engines; all of it ends with the test."""
    made, engines = [], []

    def make(*parts, **other):
        engines.extend(parts)
        made.append(Gateway(tmp_path, config(*parts, **other)))
        return made[-1], Caller(made[-1].address)

    yield make
    for gateway in made:
        gateway.end()
    for engine in engines:
        engine.close()


@pytest.fixture
def launch_gateway(tmp_path):
    """Starts a gateway in a process of its own, which ends with the test."""
    made = []

    def make(told, *words, **other):
        made.append(start_process(tmp_path, told, *words, **other))
        return made[-1]

    yield make
    for process in made:
        process.kill()
        gateway_log.record("".join(text or "" for text in process.communicate()))
