"""Maps the names used in settings, requests and endpoint lists to the numbers that the policy uses."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Any

from quota_ingress.policy.settings import Plan, Settings

MAX_LOAD_VALUE = 1e6  # a load report with a value this high or higher is ignored as implausible


class SettingsIndex:
    """Looks up request classes, plans, zones, machine types and load fields by name.

    Attributes:
        classes: Index into `Settings.classes` by name.
        plans: Index into `Settings.plans` by name.
        zones: Zone number by name.
        machine_types: Number of a machine type by name.
        max_units: The maximum units of one request, by plan.
    """

    def __init__(self, settings: Settings, raw: Mapping[str, Any]) -> None:
        """Indexes `settings`; `raw`, the settings as received, names zones, machine types and load fields."""
        self.classes = {c.name.encode(): number for number, c in enumerate(settings.classes)}
        self.plans = {plan.name.encode(): number for number, plan in enumerate(settings.plans)}
        self.zones = _numbered(raw.get("failure_domains", ()))
        self.machine_types = _numbered(raw.get("flavors", ()))
        units_top = float(raw.get("domain", {}).get("units_top", 0)) or math.inf
        self.max_units = tuple(_max_units(plan, units_top) for plan in settings.plans)
        names_on_wire = raw.get("telemetry", {}).get("fields", ())
        self._load_fields = {str(name).encode(): number for number, name in enumerate(names_on_wire)}
        self._load_fields |= {name.encode(): number for number, name in enumerate(settings.load_fields)}
        self._load_field_count = len(settings.load_fields)

    def load(self, text: bytes) -> tuple[float, ...]:
        """Parses a load report such as `inflight=7,queue=2` in the order of `Settings.load_fields`.

        The result is empty if a field is missing or its value is not a number from 0 to below MAX_LOAD_VALUE.
        """
        parsed_values: list[float | None] = [None] * self._load_field_count
        for part in text.split(b","):
            name, _, value_text = part.strip().partition(b"=")
            position = self._load_fields.get(name)
            if position is None:
                continue
            try:
                value = float(value_text)
            except ValueError:
                return ()
            if not 0 <= value < MAX_LOAD_VALUE:  # also true for NaN
                return ()
            parsed_values[position] = value
        values = [value for value in parsed_values if value is not None]
        return tuple(values) if len(values) == self._load_field_count else ()


def _max_units(plan: Plan, units_top: float) -> float:
    return min(plan.burst, units_top) if plan.rate else units_top


def _numbered(names: Sequence[Any]) -> dict[str, int]:
    return {str(name): number for number, name in enumerate(names)}
