"""savoryshelf: latency-critical services and batch work on the same hosts.

The public API consists of the programs ``savoryshelfd`` and ``savoryshelf`` and
the interfaces described in ``docs/INTERFACES.md``.  All modules of this package
are internal.
"""

__version__ = "0.1.0"
