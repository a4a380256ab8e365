"""The adapter that lets the bench drill the decision module over its own wire."""
