"""The model of a fleet's quotas in simulated time."""

from ingress_testbed.quota_day import Day


def test_the_same_seed_gives_the_same_day_and_another_one_another() -> None:
    first, again, other = (Day(20, 5.0, 500.0, seed=seed).play() for seed in (1, 1, 2))
    assert first == again != other


def test_use_beyond_quotas_goes_by_what_the_counter_can_answer() -> None:
    scarce, ample = (Day(80, 12.0, calls, seed=3).play() for calls in (250.0, 2000.0))
    assert ample["over_quota_part"] < 0.03 and ample["inside_part"] > 0.9
    assert ample["over_quota_part"] < scarce["over_quota_part"] < 0.25
    most = 250 * (12 + 4) / 12  # the last four seconds' calls are counted, too
    assert scarce["calls_per_s_n"] - scarce["turned_away_per_s_n"] < most < ample["calls_per_s_n"]
    assert ample["unheard_part"] < scarce["unheard_part"]
