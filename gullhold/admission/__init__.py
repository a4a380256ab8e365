"""Fair queues at the door: a stage between a front and the decision module.

A crowd waits here, cheaply, by tenant and client; the module is handed only what it can make use of. fair.py
shares work out, flows.py keeps queues in bounded memory, promises.py says when to come back, whose.py tells
clients apart, door.py puts them together. None of them does I/O; a front owns one Door and calls it.
"""
