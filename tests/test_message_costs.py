"""What one message may cost: the time for which others wait, and memory over all connections."""

from threading import Event

from serving import until

from gullhold.net import request_reader, statement
from gullhold.testing.client import BlockingClient
from gullhold.testing.scripted import ScriptedEngine

LONG_STATEMENT = b"select 1 from sales_3.t" + b" " * 5000


def test_other_clients_are_answered_while_a_long_statement_is_read(start_gateway, monkeypatch):
    """Guards against readers that wait for the one that reads a statement, however long that takes."""
    may_read = Event()
    long_texts = []

    def read_long_ones_late(text):
        if len(text) > 5000:
            long_texts.append(text)
            may_read.wait()
        return statement.table_group(text)

    monkeypatch.setattr(request_reader, "table_group", read_long_ones_late)
    gateway, client = start_gateway(ScriptedEngine())
    others = [BlockingClient(gateway.address) for _ in range(2)]
    long_ones = [other.send_command(body=LONG_STATEMENT) for other in others]
    until(lambda: long_texts)
    for _ in range(3):
        seq = client.send_command()
        assert client.read_answer() == (seq, b"a\tb\tc\n")
    assert len(long_texts) == 1  # such statements are read one at a time
    may_read.set()
    for other, seq in zip(others, long_ones, strict=True):
        assert other.read_answer() == (seq, b"a\tb\tc\n")


def test_statements_that_wait_to_be_read_are_shed_when_they_exceed_their_memory(start_gateway, monkeypatch):
    """Guards against hundreds of long statements that wait for their turn, each twice in memory."""
    may_read = Event()
    monkeypatch.setattr(
        request_reader, "table_group", lambda text: may_read.wait() and statement.table_group(text)
    )
    gateway, client = start_gateway(ScriptedEngine())
    memory = gateway.core.statement_memory
    memory.max_bytes = 40_000
    clients = [client, *(BlockingClient(gateway.address) for _ in range(5))]
    for each in clients:
        each.send_command(body=LONG_STATEMENT)
    until(lambda: gateway.count("rejected_statement_memory") == 3)  # a frame of 5,200 bytes counts twice
    may_read.set()
    results = [each.read_answer().result for each in clients]
    assert sorted(results, key=str) == [b"a\tb\tc\n"] * 3 + ["shed"] * 3
