"""The mechanism step by step: bucket, lease, ring."""

import pytest

from quota_ingress.policy.actions import AddToCounter, Reject, SendAttempt
from quota_ingress.policy.borrowing_ring import RETRY_OFFSETS, BorrowingRing, Slot
from quota_ingress.policy.events import AttemptEnded, CounterAnswered, Outcome
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.lease import counter_name
from quota_ingress.policy.leased_quota import LeasedQuota
from tests.helpers import PLANS, SECOND, Counter, arrival, backend, listed, of, settings, settle


def gateway(**changes: object) -> Gateway:
    made = Gateway(settings(**changes), seed=1)
    made.handle(0, listed(*(backend(n) for n in range(1, 5))))
    return made


def test_first_request_takes_a_lease_of_several_units_and_is_sent() -> None:
    g, counter = gateway(), Counter()
    asked = g.handle(0, arrival(1))
    (add,) = of(asked, AddToCounter)
    assert not of(asked, SendAttempt) and add.amount > 1
    assert add.name == counter_name(7, 0)
    assert len(of(g.handle(1000, counter.answers(asked)[0]), SendAttempt)) == 1


def test_leased_units_admit_without_another_call() -> None:
    g, counter = gateway(), Counter()
    settle(g, 0, arrival(1, units=0.5), counter)
    again = g.handle(1000, arrival(2, units=0.5))
    assert of(again, SendAttempt) and not of(again, AddToCounter)


def test_what_is_taken_past_the_allowance_is_added_back() -> None:
    g, counter = gateway(), Counter()
    counter.totals[counter_name(7, 0)] = 3.5  # a sibling took most of the burst of 4
    actions = settle(g, 0, arrival(1), counter)
    back = [a.amount for a in of(actions, AddToCounter) if a.amount < 0]
    assert len(back) == 1 and of(actions, Reject) and not of(actions, SendAttempt)
    assert counter.totals[counter_name(7, 0)] == pytest.approx(4.0)


def test_one_burst_in_all_through_two_gateways() -> None:
    one, two, counter = gateway(), gateway(), Counter()
    sent = 0
    for n in range(20):
        sent += len(of(settle((one, two)[n % 2], 0, arrival(n), counter), SendAttempt))
    assert 3 <= sent <= 4  # burst 4; a fraction may be stranded in a lease


def test_refused_without_a_call_once_the_store_is_known_empty() -> None:
    g, counter = gateway(), Counter()
    for n in range(8):
        settle(g, 0, arrival(n), counter)
    late = g.handle(0, arrival(9))
    assert of(late, Reject) and not of(late, AddToCounter)


def test_silent_counter_gives_quota_over_spread() -> None:
    g = gateway()
    sent = 0
    for n in range(40):
        actions = g.handle(0, arrival(n))
        for add in of(actions, AddToCounter):
            actions += g.handle(0, CounterAnswered(add.name, Outcome.TIMEOUT, 0.0, 30_000))
        sent += len(of(actions, SendAttempt))
    assert sent == 2  # burst 4 over two gateways


def test_slow_counter_is_not_fed_more_calls() -> None:
    g = gateway()
    adds = []
    for n in range(40):
        adds += of(g.handle(0, arrival(n, customer=n)), AddToCounter)
    for add in adds:
        g.handle(0, CounterAnswered(add.name, Outcome.TIMEOUT, 0.0, 30_000))
    again = 0
    for n in range(1000):  # a thousand customers in a second
        again += len(of(g.handle(SECOND + n * 1000, arrival(100 + n, customer=100 + n)), AddToCounter))
    assert len(adds) == 40 and 20 < again < 80


def test_flushed_counter_does_not_open_the_gate() -> None:
    g, counter = gateway(), Counter()
    sent = sum(len(of(settle(g, 0, arrival(n), counter), SendAttempt)) for n in range(8))
    counter.totals.clear()
    sent += sum(len(of(settle(g, 500_000, arrival(n), counter), SendAttempt)) for n in range(8, 16))
    assert sent <= 5  # burst 4 and half a second at 2 a second
    assert sum(counter.totals.values()) > 2  # what it forgot was put back


@pytest.mark.parametrize("total", [float("nan"), float("inf"), -50.0, -1e30])
def test_impossible_totals_do_not_open_the_gate(total: float) -> None:
    g = gateway()
    sent = 0
    for n in range(30):
        for add in of(g.handle(0, arrival(n)), AddToCounter):
            sent += len(of(g.handle(0, CounterAnswered(add.name, Outcome.OK, total, 9)), SendAttempt))
    assert sent <= 4


def book(ring: BorrowingRing, now: int, refill_rate: float = 4.0, demand_rate: float = 0.0) -> int:
    """Books one unit; by default W_a = (4 - 0) * 0.5 = 2 units a slot."""
    return ring.book(now, 1.0, refill_rate, demand_rate)


def test_ring_books_d0_then_doubling_offsets_then_rejects() -> None:
    ring = BorrowingRing(slot_duration=500_000)
    assert [book(ring, 0) for _ in range(7)] == [500_000] * 6 + [0]
    assert [slot.capacity for slot in ring.slots] == [2, 0, 2, 0, 2, 2, 2, 0]
    assert [ring.slots[i].borrowed_retries for i in RETRY_OFFSETS] == [
        4,
        2,
        0,
    ]  # empty slots passed gained one each


def test_booked_retries_are_dropped_first_in_their_slot() -> None:
    ring = BorrowingRing(slot_duration=500_000)
    for _ in range(6):
        book(ring, 0)
    assert [book(ring, 500_000, refill_rate=0.0) for _ in range(4)] == [500_000] * 4  # B[0] was 4
    assert ring.slots[0].borrowed_retries == 0


def test_spare_capacity_is_never_negative() -> None:
    ring = BorrowingRing(slot_duration=500_000)
    assert book(ring, 0, refill_rate=0.0, demand_rate=50.0) == 0
    assert all(slot == Slot(0.0, 0) for slot in ring.slots)


def test_same_arrivals_admit_drop_and_reject_by_what_the_ring_holds() -> None:
    answers = []
    for booked in (0.0, 2.0):
        g, counter = gateway(), Counter()
        settle(g, 0, arrival(1), counter)
        account = g.admission.customers[7]
        account.bucket.leased_units = account.bucket.remaining_upper_bound = 0.0
        account.refill_rate = 10.0
        account.demand.rate = 0.0
        account.book_retry(0, 1.0)
        for slot in account.ring.slots:
            slot.capacity = booked
        answers.append(of(settle(g, 0, arrival(2), counter), Reject)[0].retry_after)
    assert answers == [0, 500_000]


def test_idle_accounts_are_discarded() -> None:
    g, counter = gateway(), Counter()
    for n in range(50):
        settle(g, 0, arrival(n, customer=n), counter)
    settle(g, 60 * SECOND, arrival(99, customer=99), counter)
    assert list(g.admission.customers) == [99]


def test_beyond_quota_is_served_where_the_plan_pays_and_room_is_left() -> None:
    g, counter = gateway(), Counter()
    sent = sum(len(of(settle(g, 0, arrival(n, plan=1), counter), SendAttempt)) for n in range(40))
    assert 4 < sent <= 20  # past the burst of 4, but only on 0.6 of the bound of four times eight


def test_cap_on_attempts_at_once() -> None:
    g = gateway()
    out = [g.handle(0, arrival(n, plan=2)) for n in range(3)]
    assert [len(of(a, SendAttempt)) for a in out] == [1, 1, 0] and of(out[2], Reject)
    send = of(out[0], SendAttempt)[0]
    g.handle(9000, AttemptEnded(0, 0, send.endpoint, Outcome.OK, 9000, True))
    assert of(g.handle(9000, arrival(4, plan=2)), SendAttempt)


def test_hard_ceiling_is_kept_by_two_gateways_through_restarts() -> None:
    counter, sent = Counter(), []
    for life in range(3):
        pair = [gateway(), gateway()]
        for ms in range(0, 4000, 20):
            now = life * 4 * SECOND + ms * 1000
            actions = settle(pair[ms // 20 % 2], now, arrival(now, plan=3), counter)
            sent += [now] * len(of(actions, SendAttempt))
    level, last = 8.0, 0
    for now in sent:
        level, last = min(8.0, level + 4.0 * (now - last) / SECOND) - 1, now
        assert level >= -0.001
    assert len(sent) > 5


@pytest.mark.parametrize("broken", [{"classes": ()}, {"fleet_size": 0}, {"limits": {"max_attempts": 0}}])
def test_settings_without_sense_are_refused(broken: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(broken))):
        Gateway(settings(**broken), 1)


def test_counter_that_turns_calls_away_is_asked_less_often() -> None:
    def calls(turned_away: int) -> int:
        g, counter = gateway(), Counter()
        for n in range(turned_away):
            for add in of(g.handle(0, arrival(n, customer=n + 100)), AddToCounter):
                g.handle(0, CounterAnswered(add.name, Outcome.REJECTED, 0.0, 1000))
        found = 0
        for n in range(200):
            new = arrival(1000 + n, customer=n)
            found += len(of(settle(g, SECOND + n * 1000, new, counter), AddToCounter))
        return found

    assert calls(8) < 0.8 * calls(0)


def test_a_connection_that_breaks_says_nothing_of_the_counters_load() -> None:
    g, sent = gateway(), 0
    for n in range(20):
        actions = g.handle(n * SECOND, arrival(n, customer=n))
        (add,) = of(actions, AddToCounter)  # it is still asked for every new customer
        actions = g.handle(n * SECOND, CounterAnswered(add.name, Outcome.RESET, 0.0, 100))
        sent += len(of(actions, SendAttempt))
    assert g.admission.call_pacing.congestion == 1 and sent == 20  # meanwhile, each by the customer's share


def test_leases_and_a_full_store_are_one_burst() -> None:
    g, counter = gateway(), Counter()
    settle(g, 0, arrival(1), counter)
    account = g.admission.customers[7]
    assert account.bucket.leased_units > 0
    assert account.bucket.remaining(30 * SECOND) + account.bucket.leased_units == pytest.approx(
        PLANS[0].burst
    )


def test_a_late_answer_of_the_counter_makes_calls_rarer() -> None:
    g = gateway()
    (add,) = of(g.handle(0, arrival(1)), AddToCounter)
    g.handle(60_000, CounterAnswered(add.name, Outcome.OK, add.amount, 60_000))  # its time-out is 30 ms
    assert g.admission.call_pacing.congestion > 1


def test_what_has_been_leased_is_not_spent_again_while_the_counter_is_silent() -> None:
    g, counter = gateway(), Counter()
    settle(g, 0, arrival(1, units=2.0), counter)  # its part of the burst of 4 over two gateways
    g.admission.customers[7].bucket.leased_units = 0.0
    actions = g.handle(1, arrival(2))
    for add in of(actions, AddToCounter):
        actions += g.handle(1, CounterAnswered(add.name, Outcome.TIMEOUT, 0.0, 90_000))
    assert of(actions, Reject) and not of(actions, SendAttempt)


def test_what_was_spent_without_the_counter_is_told_to_it_with_the_next_call() -> None:
    g = gateway()
    for second, outcome in enumerate((Outcome.TIMEOUT, Outcome.REJECTED)):  # the second tells it to nobody
        (add,) = of(g.handle(second * SECOND, arrival(second)), AddToCounter)
        spent = g.handle(second * SECOND, CounterAnswered(add.name, outcome, 0.0, 90_000))
        assert of(spent, SendAttempt)
    quota = g.admission.customers[7]
    assert isinstance(quota, LeasedQuota)
    assert quota.unreported_units == 2.0
    (add,) = of(g.handle(3 * SECOND, arrival(9)), AddToCounter)
    assert quota.unreported_units == 0.0 and add.amount >= 3.0


@pytest.mark.parametrize(("took", "recovered"), [(3_000, True), (20_000, False)])
def test_calls_come_back_soon_after_a_silence_if_answers_are_prompt(took: int, recovered: bool) -> None:
    """Forty gateways went on with one call a second each for half a minute, though answers took a few ms."""
    g = Gateway(settings(fleet_size=40), 1)
    g.admission.call_pacing.congestion = g.admission.call_pacing.max_congestion
    calls = []
    for n in range(800):  # a hundred customers in a second
        now = SECOND + n * 10_000
        for add in of(g.handle(now, arrival(n, customer=n)), AddToCounter):
            calls.append(now)
            g.handle(now + took, CounterAnswered(add.name, Outcome.OK, 1.0, took))
    last = sum(at > 8 * SECOND for at in calls)
    assert last > 20 if recovered else last < 10
