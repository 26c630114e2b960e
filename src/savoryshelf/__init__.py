"""savoryshelf: latency-critical services and batch work on the same hosts.

The public surface is the two programs, ``savoryshelfd`` and ``savoryshelf``,
and the interfaces that ``docs/INTERFACES.md`` describes.  Every module below
this package is internal.
"""

__version__ = "0.1.0"
