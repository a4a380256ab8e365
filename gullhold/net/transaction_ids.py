"""Transaction ids of requests that may have run and whose clients have left: none of them is run again."""

from collections import OrderedDict

MAX_REMEMBERED_IDS = 8_192  # some 1.5 MB; beyond it the oldest are forgotten early


class AbandonedIds:
    """Remembers ids for a time. By the protocol a client never uses an id again; one that does is refused."""

    def __init__(self, remembered_us: int) -> None:
        """remembered_us: how long an id is remembered."""
        self._remembered_us = remembered_us
        self._until: OrderedDict[bytes, int] = OrderedDict()  # in order of time

    def __len__(self) -> int:
        return len(self._until)

    def add(self, transaction_id: bytes, now_us: int) -> None:
        """Remember an id from now on."""
        self._until[transaction_id] = now_us + self._remembered_us
        self._until.move_to_end(transaction_id)
        while len(self._until) > MAX_REMEMBERED_IDS or next(iter(self._until.values())) <= now_us:
            self._until.popitem(last=False)

    def holds(self, transaction_id: bytes, now_us: int) -> bool:
        """Whether an id is remembered."""
        return self._until.get(transaction_id, 0) > now_us
