"""Settings of the tests."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("fixed")
