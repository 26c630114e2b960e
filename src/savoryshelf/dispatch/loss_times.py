"""When contact with a worker was lost, as ages that pass from host to host.

Clocks of hosts differ, so a message tells for how long before it was sent a worker had been
silent.  Whoever keeps such a message waiting adds that time.
"""

import copy

from ..wire.generated.ttypes import ContactLoss, EndLives


def aged(ended: EndLives, seconds: float) -> EndLives:
    """Return the ends as they are to be told after that time; negative ages stay unknown."""
    waited_ms = int(1000 * seconds)
    message = copy.copy(ended)
    message.losses = ended.losses and [
        ContactLoss(loss.heard_ms + waited_ms, loss.unanswered_ms + waited_ms)
        if loss.heard_ms >= 0
        else loss
        for loss in ended.losses
    ]
    return message
