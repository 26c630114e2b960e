"""Stand-ins for tests, benchmarks and the demo: workers, callers, a site on loopback.

Nothing here is part of the product.
"""
