"""The simulation of a fleet's quotas."""

from ingress_testbed.quota_day import Day


def test_the_same_seed_gives_the_same_figures_and_another_seed_others() -> None:
    first, repeated, other = (Day(20, 5.0, 500.0, seed=seed).play() for seed in (1, 1, 2))
    assert first == repeated != other


def test_more_capacity_of_the_counter_lowers_the_use_beyond_quotas() -> None:
    scarce, ample = (Day(80, 12.0, calls_per_s, seed=3).play() for calls_per_s in (250.0, 2000.0))
    assert ample["over_quota_part"] < 0.03 and ample["inside_part"] > 0.9
    assert ample["over_quota_part"] < scarce["over_quota_part"] < 0.25
    max_calls_per_s = 250 * (12 + 4) / 12  # calls in the 4 s after the last arrival count, too
    assert scarce["calls_per_s_n"] - scarce["turned_away_per_s_n"] < max_calls_per_s < ample["calls_per_s_n"]
    assert ample["unheard_part"] < scarce["unheard_part"]
