"""Fixtures of all tests."""

import pytest
from loguru import logger
from serving import Gateway, start_process

from gullhold.testing import gateway_log
from gullhold.testing.client import BlockingClient
from gullhold.testing.deployment import config

logger.remove()  # gateways inside a test process would log to a stream that pytest has closed


@pytest.fixture(autouse=True)
def check_gateway_logs(request):
    """Fail a test whose gateways logged a fault of the program, unless it is marked causes_faults."""
    gateway_log.take_recorded()
    yield
    faults = [line for text in gateway_log.take_recorded() for line in gateway_log.fault_lines(text)]
    if not request.node.get_closest_marker("causes_faults"):
        assert not faults


@pytest.fixture
def start_gateway(tmp_path):
    """Return a function that starts a gateway with these engines, and a client; all end with the test."""
    gateways, engines = [], []

    def start(*test_engines, **settings):
        engines.extend(test_engines)
        gateways.append(Gateway(tmp_path, config(*test_engines, **settings)))
        return gateways[-1], BlockingClient(gateways[-1].address)

    yield start
    for gateway in gateways:
        gateway.end()
    for engine in engines:
        engine.close()


@pytest.fixture
def launch_gateway(tmp_path):
    """Return a function that starts a gateway in a process of its own, which ends with the test."""
    processes = []

    def start(configuration, *arguments, **options):
        processes.append(start_process(tmp_path, configuration, *arguments, **options))
        return processes[-1]

    yield start
    for process in processes:
        process.kill()
        gateway_log.record("".join(text or "" for text in process.communicate()))
