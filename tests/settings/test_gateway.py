import pathlib
import re

import pytest

from skylarkpost.settings import load_settings
from skylarkpost.settings.gateway import GatewaySettings

TEMPLATE = pathlib.Path(__file__).parents[2] / "deploy" / "settings.toml"
VALUES = {
    "node|json": '"entry-1"',
    "zone|json": '"yaba"',
    "listen.front|json": '"10.1.0.25:8221"',
    "listen.ready|json": '"10.1.0.25:8224"',
    "listen.control|json": '"10.1.0.25:8229"',
    "ip": "10.1.0.25",
    "platform.address|json": '"10.200.1.7:8225"',
}


def fill(seeds, *, has_optional=True):
    text = TEMPLATE.read_text()
    section = r"\{\{#bounds\.(\w+)\}\}(.*?)\{\{/bounds\.\1\}\}"
    text = re.sub(section, r"\2" if has_optional else "", text)
    listed = ", ".join(f'"{seed}"' for seed in seeds)
    text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", listed, text)
    for name, value in VALUES.items():
        text = text.replace("{{" + name + "}}", value)
    return re.sub(r"\{\{[^}]*\}\}", "2.5", text)


@pytest.mark.parametrize("has_optional", [False, True])
@pytest.mark.parametrize("seeds", [(), ("10.1.0.25:8229", "10.2.0.17:8229")])
def test_the_template_gives_settings_without_faults(tmp_path, seeds, has_optional):
    path = tmp_path / "boot.conf"
    path.write_text(fill(seeds, has_optional=has_optional))
    settings = load_settings(path, schema=GatewaySettings)
    assert isinstance(settings, GatewaySettings), settings
    assert settings.instance.seeds == seeds
    assert (settings.bounds.warm_up_slack > 0.0) is has_optional


def test_all_faults_are_reported_at_once_and_unknown_keys_are_ignored(tmp_path):
    path = tmp_path / "boot.conf"
    text = fill(()).replace('"10.200.1.7:8225"', '"nowhere"')
    text = text.replace("lease_ms = 2.5", "lease_ms = -1").replace(
        'data_centre = "yaba"', 'colour = "red"'
    )
    path.write_text(text)
    faults = load_settings(path, schema=GatewaySettings)
    assert {fault.key for fault in faults} == {
        "store.address",
        "bounds.lease_ms",
        "instance.data_centre",
    }
