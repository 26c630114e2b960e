"""The leader's work: order workers about, settle what they list, place what may start."""
