"""Settings of all tests: the same verdict every run."""

import hypothesis

hypothesis.settings.register_profile(
    'steady', derandomize=True, database=None, deadline=None
)
hypothesis.settings.load_profile('steady')

pytest_plugins = ['steps']
