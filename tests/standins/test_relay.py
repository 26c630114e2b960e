"""The relay of tests remembers when it was cut."""

import time

from standins.relay import Relay


def test_partitions_are_on_record_from_the_first_to_the_healing():
    relay = Relay("127.0.0.1:9")
    try:
        assert relay.partitions == []
        began_at = time.monotonic()
        relay.partition()
        relay.partition()
        relay.heal()
        relay.heal()
        ((first, until),) = relay.partitions
        assert began_at <= first <= until <= time.monotonic()
        relay.partition()
        relay.heal()
        assert len(relay.partitions) == 2
    finally:
        relay.close()
