"""Stand-ins for external systems, for tests and the demonstration run.

They are not shipped with the product.
"""
