"""The result of a simulated command: a function of its transaction id, alike on every engine."""

ROWS_PER_PAGE = 12
MAX_PAGES = 3


def page_count(txn: bytes) -> int:
    """How many pages a command's result has."""
    return 1 + int(txn, 16) % MAX_PAGES


def page_rows(txn: bytes, page: int) -> bytes:
    """The rows of one page, counted from 0."""
    return b"".join(b"%s\t%d\t%d\n" % (txn, page, row) for row in range(ROWS_PER_PAGE))


def complete_result(txn: bytes) -> bytes:
    """The rows of all pages."""
    return b"".join(page_rows(txn, page) for page in range(page_count(txn)))
