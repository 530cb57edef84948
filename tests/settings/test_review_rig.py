"""The rig of the review's cases fills in the template of the settings."""

import tomllib

import pytest

from review.lib.gateways import REPOSITORY, Gateway, render
from skylarkpost.settings.gateway import GatewaySettings

TEMPLATE = REPOSITORY / "deploy/settings.toml"


@pytest.mark.parametrize("bounds", [{}, {"coldOverrun": 1.2, "coldSlack": 3}])
def test_the_rig_knows_each_field_of_the_template(bounds, tmp_path):
    """Guards against cases that can't start since the template has grown."""
    gateway = Gateway(
        number=1,
        zone="windhoek-a",
        folder=tmp_path,
        store_address="127.0.0.1:1",
        bounds=bounds,
    )
    text = render(TEMPLATE.read_text(), gateway.values())
    settings = GatewaySettings.model_validate(tomllib.loads(text))
    assert settings.process.memory_mb == 560
    if bounds:
        assert settings.bounds.warm_up_overrun == 1.2
