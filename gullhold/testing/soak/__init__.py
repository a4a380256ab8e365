"""A soak test: gateway processes between test doubles, with random troubles planned from a seed.

The checks use only what clients and engines saw on the wire, the gateways' exits and their logs.

plan: the plan of a seed; clients_and_engines: test doubles that record what they sent and received;
violations: the checks; run: the run of one plan; mutant: gateways with a deliberate fault, which show that
the checks find it.
"""
