"""The decision module: what runs, where, when, with how much memory and at which priority."""
