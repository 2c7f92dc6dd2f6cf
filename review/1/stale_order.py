"""An order of the operator that waits in a paused member is applied after newer
orders.

One member is paused for four seconds. The operator takes an evacuation back;
the paused member doesn't answer within a second, so the operator sends the order
to another one, which acknowledges it. Then the zone is evacuated again. When the
first member goes on, it applies the order in its receive buffer.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import case  # noqa: E402

FREEZE_S = 4.0
EVACUATION_S = 20.0
EVAC_MS = case.BOUNDS["evacMs"]
SKEW_MAX_MS = case.BOUNDS["skewMaxMs"]
ZONE = "z-b"


class Desk(case.fakes.Endpoint):
    """An endpoint of a plain service in one zone."""

    def __init__(self, name, zone, seed):
        super().__init__(name, "desk", None, 8, seed)
        self.zone = zone


class StaleOrder(case.Case):
    def __init__(self, folder):
        super().__init__(folder)
        self.endpoints = [Desk(f"i-{zone}{at}", zone, at)
                          for zone in self.zones for at in range(2)]

    def configuration(self):
        return case.json.dumps({
            "version": 1,
            "routes": [{"name": "r-book", "host": "a.example",
                        "pathPrefix": "/book/", "kind": "unsafe",
                        "timeoutMs": 1500, "targetLatencyMs": 150,
                        "priority": 2, "service": "desk", "maxAttempts": 1,
                        "public": True, "sticky": False, "resumable": False}],
            "services": [{"name": "desk", "healthPath": "/health",
                          "maxConns": 110, "protocol": "h1", "tls": False,
                          "coldStartS": 0.0, "coldPerS": 0.0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": []}).encode()

    async def run_caller(self, host):
        while self.running:
            await self.call(host, "POST", "/book/x", {"Deadline-Ms": "1500"},
                            b"b")
            await asyncio.sleep(0.1)

    def arrivals_in_zone(self, since, until):
        return [(at, attempt, endpoint.name) for endpoint in self.endpoints
                if endpoint.zone == ZONE
                for at, attempt in endpoint.arrivals if since < at < until]

    async def play(self):
        callers = [asyncio.create_task(self.run_caller(host))
                   for host in self.entries for _ in range(2)]
        await self.order("POST", f"/evacuate/{ZONE}")
        await asyncio.sleep(3)
        paused = await self.find_member(False)
        other = next(host for host in self.members if host is not paused)
        if self.trouble:
            paused.signal(signal.SIGSTOP)
        paused_at = time.monotonic()
        await asyncio.sleep(0.2)
        await self.order("DELETE", f"/evacuate/{ZONE}", first=paused)
        await asyncio.sleep(0.5)
        await self.order("POST", f"/evacuate/{ZONE}", first=other)
        acknowledged_at = time.monotonic()
        self.record.add("evacuation_acknowledged", zone=ZONE)
        await asyncio.sleep(paused_at + FREEZE_S - time.monotonic())
        if self.trouble:
            paused.signal(signal.SIGCONT)
        resumed_at = time.monotonic()
        await asyncio.sleep(acknowledged_at + EVACUATION_S - time.monotonic())
        self.check_processes()
        until = time.monotonic()
        await self.order("DELETE", f"/evacuate/{ZONE}", first=other)
        self.running = False
        await asyncio.gather(*callers)
        bound = max(acknowledged_at + (EVAC_MS + SKEW_MAX_MS) / 1000,
                    resumed_at + case.STABLE_WINDOW_S)
        before = self.arrivals_in_zone(paused_at - 1, paused_at)
        late = self.arrivals_in_zone(bound, until)
        for at, attempt, name in late:
            self.record.add("ran_in_evacuated_zone", attempt=attempt,
                            endpoint=name,
                            after_acknowledgement_s=f"{at - acknowledged_at:.3f}")
        print(f"{len(before)} requests reached {ZONE} in the second before the "
              f"pause, {len(late)} later than {bound - acknowledged_at:.1f} s "
              "after the evacuation was acknowledged")
        return len(late) > 0


if __name__ == "__main__":
    case.main(StaleOrder(pathlib.Path(__file__).resolve().parent))
