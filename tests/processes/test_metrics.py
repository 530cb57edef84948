import re

import pytest

from tests.processes.fleets import eventually, running_fleet

pytestmark = pytest.mark.processes


async def test_the_metrics_that_users_need_are_exported(tmp_path):
    async with running_fleet(tmp_path) as (fleet, caller):
        await caller.chat("entry-1", "plan-3", "a prompt " * 200, max_tokens=4)

        async def all_are_shown():
            text = ""
            for instance, _ in fleet.shape.instances:
                async with fleet.http.get(fleet.urls[instance] + "/metrics") as answer:
                    text += await answer.text()
            patterns = [
                r'load_stall_seconds_count\{team="depot"\} [1-9]',
                r'engine_batch\{kind="limit",target="plan-assist-1"\} 8',
                r'engine_prompt_tokens\{kind="tokens",target="[^"]+"\} [1-9]',
                r'first_token_seconds_count\{team="depot",urgency="5"\} [1-9]',
                r"^# TYPE skylarkpost_refused_within_rate_total counter$",
            ]
            return all(re.search(p, text, re.MULTILINE) for p in patterns)

        await eventually(all_are_shown)
