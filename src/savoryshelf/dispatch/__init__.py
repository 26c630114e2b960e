"""The leader's dispatching: placing runs, calling and polling workers, settling their ends."""
