"""The core protocol as small models, checked over every reachable state.

Each module describes one part of the protocol.  Its guards are named; a
mutant is the same model with one guard taken away, and the checker must find
a counterexample for it.  ``python -m specification`` checks them all.
"""
