"""A soak test: runs a few dozen real ingresses on loopback under overlapping faults and checks invariants.

`python -m ingress_testbed soak` plays one run for each seed. All processes read one clock (CLOCK_MONOTONIC),
so that the times that clients, backends and ingresses record can be compared. The modules: `records`,
`backends` and `clients` (worker processes), `fault_plan` (the schedule), `fault_injector`, `nodes` (ingress
processes), `run` (starts and ends everything), `judge` (checks the invariants; pure functions).
"""
