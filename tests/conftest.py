"""Hypothesis profiles: fixed examples in CI, many random ones in a soak."""

import os

import hypothesis

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
)
hypothesis.settings.register_profile(
    'soak',
    database=None,
    deadline=None,
    max_examples=2000,
    stateful_step_count=100,
)
hypothesis.settings.load_profile(
    'soak' if os.environ.get('GODWITSTALL_SOAK') else 'ci'
)
