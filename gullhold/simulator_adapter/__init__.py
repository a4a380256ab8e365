"""The adapter through which the operators' simulator runs the decisions of many gateways over its own wire.

wire      codes of records and layouts of their fields
events    records of a batch, as typed events
actions   results of a gateway, as records of a reply
host      one gateway for each instance of the simulator
"""
