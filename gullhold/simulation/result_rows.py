"""The rows of a simulated command's result. They depend only on its transaction id, not on the engine."""

ROWS_PER_PAGE = 12
MAX_PAGES = 3


def page_count(txn: bytes) -> int:
    """Return the number of pages of a command's result, 1 to MAX_PAGES."""
    return 1 + int(txn, 16) % MAX_PAGES


def page_rows(txn: bytes, page: int) -> bytes:
    """Return the rows of one page; pages are counted from 0."""
    return b"".join(b"%s\t%d\t%d\n" % (txn, page, row) for row in range(ROWS_PER_PAGE))


def complete_result(txn: bytes) -> bytes:
    """Return the rows of all pages."""
    return b"".join(page_rows(txn, page) for page in range(page_count(txn)))
