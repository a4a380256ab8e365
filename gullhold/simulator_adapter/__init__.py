"""Adapter through which the operators' simulator runs many gateways' decision modules over its protocol.

wire      codes of records and layouts of their fields
events    decodes the records of a batch into typed events
actions   encodes results of a gateway as records of a reply
host      runs one gateway for each instance in the simulator
"""
