"""The core protocol as small models, checked over every reachable state.

Each module models one part of the protocol with named guards.  A mutant is the
model without one guard, and the checker must find a counterexample for it.
``python -m specification`` checks all models and mutants.
"""
