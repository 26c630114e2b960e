"""The core protocol as small models, checked over every reachable state.

Each module models one part of the protocol.  A guard is a named rule that the
protocol needs, such as "a replica votes at most once per term".  A mutant is a
model without one of its guards; the checker must find a state of it that breaks
a property, which shows that the guard is needed.
``python -m specification`` checks all models and mutants.
"""
