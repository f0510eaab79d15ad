"""Evacuated failure domains and cold servers, as faults of the soak test."""

import asyncio
import random

from adapter import ledgers

DOMAINS = ('z0', 'z1')
MEAN_PAUSE_S = 1.5
PERIOD_S = (4.0, 7.0)
KNOWN_AFTER_S = 3.0  # with a store that replies
COLD_PER_S = 10.0
MAX_COLD_PER_S = 1.5 * COLD_PER_S + 5  # with warmupExcess and warmupSlack


class FleetFaults:
    """Evacuates a domain while servers elsewhere are cold, now and then."""

    def __init__(self, soak, seed):
        self._soak = soak
        self._rng = random.Random(seed)
        # Else the store seldom replies until a period is known.
        self._calms_store = seed % 2 == 1
        self.calm_until = 0.0  # of the store
        self.kept = ()  # servers whose entries other writers leave alone
        self.end = 0.0  # of the period; the return of an older copy ends it
        self.periods = []

    async def run(self):
        rng, platform = self._rng, self._soak.platform
        now = asyncio.get_running_loop().time
        while True:
            await asyncio.sleep(MEAN_PAUSE_S * rng.random() * 2)
            domain = rng.choice(DOMAINS)
            self.kept = sorted(platform.servers)
            zones = {each: platform.servers[each]['zone'] for each in self.kept}
            inside = {each for each in self.kept if zones[each] == domain}
            cold = rng.sample(sorted(zones.keys() - inside), rng.randint(1, 3))
            self.end = now() + rng.uniform(*PERIOD_S)
            known_at = now() + KNOWN_AFTER_S
            if self._calms_store:
                self.calm_until = known_at
                platform.store_mode = 'ok'
            for each in DOMAINS:  # one may have come back with a copy
                await platform.remove(f'op/evacuate/{each}')
            await platform.put(f'op/evacuate/{domain}', {})
            for name in cold:
                platform.warm_at[name] = self.end
                await platform.report_server(name)
            try:
                while now() < self.end:
                    await asyncio.sleep(0.02)
                    if platform.store_mode != 'ok' and now() < known_at:
                        known_at = now() + KNOWN_AFTER_S
            finally:
                period = (inside, cold, known_at, min(self.end, now()))
                self.periods.append(period)
                self.kept = ()
                await platform.remove(f'op/evacuate/{domain}')

    def check(self, arrivals):
        """Checks what evacuated and cold servers got."""
        for inside, cold, begin, end in self.periods:
            known = [each for each in arrivals if begin <= each.at < end]
            for each in known:
                touch = self._soak.is_sender_in_touch(each)
                if each.server_id in inside and touch:
                    yield f'evacuated, known at {begin}: {each}'
            for name in cold:
                times = (each.at for each in known if each.server_id == name)
                worst = ledgers.count_worst_window(times, 1.0)
                if worst > MAX_COLD_PER_S:
                    yield f'cold {name}: {worst} in 1 s, {begin} to {end}'
