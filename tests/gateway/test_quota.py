"""Exchange of the usage of teams."""

from tests.gateway.rig import gateway, wait_until


async def test_an_instance_without_usage_is_not_counted_as_unreported():
    """Guards against parts of a limit that are held back for an idle instance."""
    async with gateway(engines=0, plain=1) as rig:
        digests = rig.instance.services.controllers["membership"].core.digests
        await wait_until(lambda: "demand" in digests.published)
