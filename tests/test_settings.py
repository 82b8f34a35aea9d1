"""The settings that a gateway accepts."""

from __future__ import annotations

import pytest

from quota_ingress.policy.gateway import Gateway
from tests.helpers import settings


@pytest.mark.parametrize(
    "invalid_setting", [{"classes": ()}, {"fleet_size": 0}, {"limits": {"max_attempts": 0}}]
)
def test_invalid_settings_are_rejected(invalid_setting: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(invalid_setting))):
        Gateway(settings(**invalid_setting), 1)
