"""For all tests."""

from loguru import logger

logger.remove()   # gateways that run inside a test would go on logging to a stream that it has closed
