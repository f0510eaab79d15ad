"""Runs one stand-in process: `python -m balsamshore_standins NAME ...`."""

import anyio
import fire

from balsamshore_standins import baseline
from balsamshore_standins import plans
from balsamshore_standins import sites


@fire.decorators.SetParseFn(str)
def run_site(deployment: str, part: str = '0', parts: str = '1') -> None:
    """Runs backend servers, platform and proxies of a deployment."""
    plan = plans.decode(deployment)
    anyio.run(sites.Site(plan, int(part), int(parts)).serve)


@fire.decorators.SetParseFn(str)
def run_baseline(deployment: str, vm: str) -> None:
    """Runs the baseline in place of the node of one VM."""
    anyio.run(baseline.serve, plans.decode(deployment), int(vm))


if __name__ == '__main__':
    fire.Fire({'site': run_site, 'baseline': run_baseline})
