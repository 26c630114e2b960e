import ipaddress

from standins.site import loopback_address


# Guards against a series of soaks that stops after 25 seeds: the last number of an address went
# beyond 255, and no process could listen there.
def test_loopback_addresses_stay_valid_in_a_long_series_of_runs():
    addresses = [loopback_address() for _ in range(600)]
    assert all(ipaddress.ip_address(address).is_loopback for address in addresses)
    assert len(set(addresses[:150])) == 150
