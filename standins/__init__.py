"""Stand-ins for what savoryshelf talks to: workers, callers, a site on loopback.

None of this is part of the product.
"""
