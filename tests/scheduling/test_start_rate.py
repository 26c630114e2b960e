"""A burst of wide best-effort jobs that keeps the leader busier than it has processor time."""

from savoryshelf.scheduling.start_rate import (
    ADJUST_INTERVAL_SECONDS,
    MAX_LAG_SECONDS,
    MAX_RATE,
    MEASURE_INTERVAL_SECONDS,
    MIN_RATE,
    StartRate,
)


def run_leader(start_rate, seconds, starts_wanted, capacity, now=0.0):
    """Return the time and the mean lag and starts per second of the last half.

    The leader's timers lag in proportion to the starts beyond ``capacity`` a second.
    """
    lags, starts = [], []
    began_at = now
    while now < began_at + seconds:
        now += MEASURE_INTERVAL_SECONDS
        started = min(starts_wanted * MEASURE_INTERVAL_SECONDS, start_rate.allowed_starts(now))
        start_rate.record_starts(started)
        lag = max(0.0, started / MEASURE_INTERVAL_SECONDS / capacity - 1.0) * 0.1
        start_rate.record_lag(lag, now)
        lags.append(lag)
        starts.append(started)
    half = len(lags) // 2
    return now, sum(lags[half:]) / half, sum(starts[half:]) / (half * MEASURE_INTERVAL_SECONDS)


def test_a_leader_with_time_to_spare_is_not_limited():
    start_rate = StartRate()
    assert start_rate.allowed_starts(0.0) == MAX_RATE * ADJUST_INTERVAL_SECONDS
    _, _, rate = run_leader(start_rate, 20.0, starts_wanted=300.0, capacity=400.0)
    assert rate > 290.0


def test_a_burst_settles_at_what_the_leader_has_time_for():
    start_rate = StartRate()
    _, lag, rate = run_leader(start_rate, 40.0, starts_wanted=500.0, capacity=200.0)
    assert lag < 2 * MAX_LAG_SECONDS
    assert 140.0 < rate < 260.0


def test_the_rate_recovers_after_a_burst():
    start_rate = StartRate()
    now, _, _ = run_leader(start_rate, 20.0, starts_wanted=500.0, capacity=100.0)
    _, _, rate = run_leader(start_rate, 20.0, starts_wanted=300.0, capacity=400.0, now=now)
    assert rate > 290.0


def test_a_leader_that_lags_whatever_is_started_keeps_starting_at_the_lowest_rate():
    start_rate = StartRate()
    for number in range(1000):
        start_rate.record_lag(1.0, number * MEASURE_INTERVAL_SECONDS)
    assert start_rate.rate == MIN_RATE
    now = 1000 * MEASURE_INTERVAL_SECONDS
    start_rate.allowed_starts(now)
    assert start_rate.allowed_starts(now + 1.0) >= 1


def test_starts_beyond_the_allowance_delay_later_ones():
    start_rate = StartRate(rate=10.0)
    allowed = start_rate.allowed_starts(0.0)
    start_rate.record_starts(allowed + 5)
    assert start_rate.allowed_starts(0.1) == 0
    assert start_rate.allowed_starts(1.0) > 0
