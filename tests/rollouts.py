#!/usr/bin/env python3
"""Roll-outs of several services by the real programs over the platform's fakes.

Each run starts three group members and three entry hosts. Services of one name
each are moved to a new version at the same time; the versions differ in what is
wrong with them. The checks rest on what endpoints received:

- a bad version gets at most a tenth of its service's requests until the
  deadline, and 50 more, and none later than 5 s after its fiftieth bad answer;
- a good version is completed and a bad one rolled back before the deadline;
- nothing reaches the target after `rolled_back` was read, nor the old endpoints
  after `completed`, at which nothing runs there any more;
- a prompt is decoded by the version that has prefilled it.

The run "faults" is the soak with roll-outs, by hand only: the faults of
tests/harness/platform_soak.py come during the roll-outs.

    rollouts.py [--run NAME] [--seed 1] [--seeds 1] [--network 127.0.40]
"""

import argparse
import asyncio
import datetime
import json
import os
import pathlib
import re
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "harness"))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "fakes"))
import platform_fakes as fakes  # noqa: E402
import platform_soak  # noqa: E402

DEADLINE_S = 12.0
SHARE = 0.1
SLACK = 50
ROLLBACK_S = 5.0
DECISIVE_BAD_ANSWERS = 50
TARGET_START_S = 0.6   # Time from the order to the target's start.
ENDPOINTS = 4          # Of each version.
# Time that a request sent before a phase was read takes to its endpoint.
ON_THE_WAY_S = 0.2
MAX_OPERATOR_S = 5.0
MAX_SKEW_S = 6.0       # By which an unstable group may delay a roll-back.


class Service:
    """One service, the endpoints of both versions and what is wrong."""

    def __init__(self, name, fault, seed):
        self.name = name
        self.fault = fault
        self.is_stream = name.startswith("llm")
        self.old = self.make_endpoints("v1", seed)
        self.new = self.make_endpoints("v2", seed + 50)
        self.ordered_at = None
        self.state = "none"
        self.state_at = 0.0     # When the state was read.
        self.running_at_end = 0
        self.calls = []         # (time, status)

    @property
    def is_bad(self):
        return self.fault is not None

    def make_endpoints(self, version, seed):
        stages = (["prefill"] * 2 + ["decode"] * 2 if self.is_stream
                  else [None] * ENDPOINTS)
        out = []
        for at, stage in enumerate(stages):
            endpoint = fakes.Endpoint(f"i-{self.name}-{version}-{at}",
                                      self.name, stage, 16, seed + at)
            endpoint.version = version
            endpoint.work_s = (0.01, 0.03)
            out.append(endpoint)
        return out

    def break_target(self, now):
        """Puts the fault into the endpoints of the new version."""
        for endpoint in self.new:
            if self.fault == "at_once":
                endpoint.failing_paths = ("/",)
            elif self.fault == "later":
                endpoint.failing_paths = ("/",)
                endpoint.fails_from = now + 5.0
            elif self.fault == "one_route":
                endpoint.failing_paths = (f"/{self.name}-b/",)
            elif self.fault == "slow":
                endpoint.work_s = (0.08, 0.24)


class RolloutRun(platform_soak.Soak):
    def __init__(self, name, seed, network):
        super().__init__(seed, DEADLINE_S, 3, network=network)
        self.name = name
        services, self.disturb = RUNS[name]
        self.extra_settings = ["bounds.exposeShare=0.1",
                               "bounds.exposeSlack=50",
                               "bounds.rollbackMs=5000",
                               "bounds.ackMs=5000"]
        self.services = [Service(service, fault, seed + 100 * at)
                         for at, (service, fault) in enumerate(services)]
        self.links = []
        self.list = fakes.EndpointList(self.links)
        self.kv_versions = {}
        self.endpoints = [endpoint for service in self.services
                          for endpoint in service.old]

    async def list_endpoints(self, endpoints):
        for endpoint in endpoints:
            await endpoint.start()
            link = fakes.Link(endpoint)
            await link.start()
            self.kv_versions[f"127.0.0.1:{link.port}"] = endpoint.version
            self.links.append(link)

    async def replace(self, endpoint):
        """Not among the faults here: it clears what the checks rest on."""

    def config(self, version):
        routes, services = [], []
        for service in self.services:
            for letter, kind in (("a", "unsafe"), ("b", "safe")):
                routes.append({
                    "name": f"{service.name}-{letter}", "host": "a.example",
                    "pathPrefix": f"/{service.name}-{letter}/",
                    "kind": "stream" if service.is_stream else kind,
                    "timeoutMs": 3000, "targetLatencyMs": 300,
                    "gapAimMs": 200, "priority": 1, "service": service.name,
                    "maxAttempts": 2 if kind == "safe" else 1,
                    "public": True, "resumable": False})
            services.append({"name": service.name})
            if service.is_stream:
                services[-1]["engine"] = {
                    "slots": 16, "kvCapTokens": 40000, "roleSwitchS": 0.5,
                    "stride": 5}
        return json.dumps({
            "version": version, "routes": routes, "services": services,
            "limits": {"idleTimeoutMs": 15000},
            "tenants": [{"name": "acme", "apiKeys": ["key-acme"]}]}).encode()

    async def call_member(self, method, path, body=b""):
        host = self.random.choice(self.members)
        caller = fakes.Caller(f"{host.ip}:{platform_soak.CONTROL_PORT}")
        headers = {"Host": "x", "Content-Type": "application/json"}
        status, _, content, _ = await caller.call(method, path, headers, body,
                                                  1.0)
        caller.close()
        return status, content

    async def order(self, service):
        """Orders a roll-out as the platform's operator does."""
        body = json.dumps({"service": service.name, "target": "v2",
                           "deadlineS": DEADLINE_S}).encode()
        began = time.monotonic()
        while time.monotonic() < began + MAX_OPERATOR_S:
            status, content = await self.call_member("POST", "/rollouts", body)
            if status == 200:
                service.ordered_at = began
                return
            if status in (400, 412, 413, 422):
                self.add_problem(f"the order of {service.name} got {status}: "
                                 f"{content!r}")
                return
            await asyncio.sleep(0.2)
        self.add_problem(f"the order of {service.name} was not accepted")

    async def follow(self, service):
        """Orders a roll-out, starts its target, and does what the platform
        does at the end."""
        await self.order(service)
        if service.ordered_at is None:
            return
        await asyncio.sleep(TARGET_START_S)
        service.break_target(time.monotonic())
        await self.list_endpoints(service.new)
        until = service.ordered_at + DEADLINE_S
        if self.has_faults:
            until += MAX_SKEW_S
        while time.monotonic() < until:
            asked_at = time.monotonic()
            status, content = await self.call_member(
                "GET", f"/rollouts/{service.name}")
            state = json.loads(content)["state"] if status == 200 else ""
            if state in ("completed", "rolled_back"):
                service.state, service.state_at = state, asked_at
                await self.end_rollout(service)
                return
            await asyncio.sleep(0.1)

    async def end_rollout(self, service):
        if service.state == "rolled_back":
            return
        # The platform stops the old endpoints at once.
        service.running_at_end = sum(item.running for item in service.old)
        for endpoint in service.old:
            endpoint.server.close()
            endpoint.reset_connections()
        self.links[:] = [link for link in self.links
                         if link.endpoint not in service.old]

    async def run_caller(self, service, number):
        host = self.entries[number % len(self.entries)]
        caller = fakes.Caller(f"{host.ip}:{platform_soak.CLIENT_PORT}")
        while self.running:
            self.attempt += 1
            attempt = f"r{self.seed:x}.{self.attempt:x}"
            letter = self.random.choice("ab")
            is_get = letter == "b" and not service.is_stream
            headers = {"Host": "a.example", "Attempt-Id": attempt,
                       "Deadline-Ms": "2500",
                       "Authorization": "Bearer key-acme"}
            if service.is_stream:
                headers["Token-Counts"] = "100,100"
            sent_at = time.monotonic()
            status, _, _, complete = await caller.call(
                "GET" if is_get else "POST", f"/{service.name}-{letter}/x",
                headers, b"" if is_get else attempt.encode())
            service.calls.append((sent_at, status if complete else 0))
            await asyncio.sleep(self.random.uniform(0.02, 0.12))
        caller.close()

    async def run(self):
        for service in self.services:
            await self.list_endpoints(service.old)
        await self.list.start()
        hosts = self.members + self.entries
        for host in hosts:
            await host.start()
        try:
            while (await self.call_member("PUT", "/config",
                                          self.config(1)))[0] != 200:
                await asyncio.sleep(0.2)
            await asyncio.sleep(1.0)
            callers = [asyncio.create_task(self.run_caller(service, number))
                       for service in self.services for number in range(6)]
            await asyncio.sleep(1.0)
            disturbing = asyncio.create_task(self.disturb(self))
            await asyncio.gather(*[self.follow(service)
                                   for service in self.services])
            await disturbing
            await asyncio.sleep(1.0)
            self.running = False
            await asyncio.gather(*callers)
        finally:
            for host in hosts:
                host.send(signal.SIGCONT)
                host.send(signal.SIGKILL)
            for host in hosts:
                await host.process.wait()
        for link in self.links:
            link.reset()
        await asyncio.sleep(0.2)
        for service in self.services:
            self.check(service)
        return not self.problems

    def check(self, service):
        if service.ordered_at is None:
            return
        until = service.ordered_at + DEADLINE_S
        arrivals = {version: sorted(
            at for endpoint in endpoints for at, _ in endpoint.arrivals)
            for version, endpoints in (("old", service.old),
                                       ("new", service.new))}
        in_time = {version: sum(service.ordered_at <= at <= until
                                for at in times)
                   for version, times in arrivals.items()}
        bad = sorted(at for endpoint in service.new
                     for at in endpoint.bad_answers)
        failed = sum(status != 200 for at, status in service.calls)
        after_s = service.state_at - service.ordered_at
        print(f"  {service.name}: {service.state} after {after_s:.1f} s, "
              f"{in_time['new']} of {sum(in_time.values())} requests to the "
              f"target, {len(bad)} bad, {failed} of {len(service.calls)} "
              "calls failed", flush=True)
        expected = "rolled_back" if service.is_bad else "completed"
        if self.has_faults:
            # A good version may go back while the group cannot decide.
            if service.state == "none" or (service.is_bad and
                                           service.state != expected):
                self.add_problem(f"{service.name} is {service.state} at the "
                                 "end")
        elif service.state != expected:
            self.add_problem(f"{service.name} is {service.state} at the "
                             f"deadline, not {expected}")
        bound = SHARE * sum(in_time.values()) + SLACK
        if service.is_bad and in_time["new"] > bound:
            self.add_problem(f"{service.name}: {in_time['new']} requests to "
                             f"the target, {bound:.0f} are allowed")
        if len(bad) >= DECISIVE_BAD_ANSWERS:
            limit = bad[DECISIVE_BAD_ANSWERS - 1] + ROLLBACK_S
            late = sum(at > limit for at in arrivals["new"])
            if late:
                self.add_problem(f"{service.name}: {late} requests later than "
                                 f"{ROLLBACK_S} s after the fiftieth failure")
        barred = {"rolled_back": "new", "completed": "old"}.get(service.state)
        late = sum(at > service.state_at + ON_THE_WAY_S
                   for at in arrivals.get(barred, []))
        if late:
            self.add_problem(f"{service.name}: {late} requests to the "
                             f"{barred} version after {service.state}")
        if service.running_at_end and not self.has_faults:
            self.add_problem(f"{service.name}: {service.running_at_end} "
                             "requests ran at old endpoints at the end")
        if not service.is_bad and not self.disturbs_callers and failed:
            self.add_problem(f"{service.name}: {failed} calls of a good "
                             "roll-out failed")
        switched_at = self.find_switch(service)
        if switched_at is not None:
            # The bound holds at any time of a trial, also of a good version.
            on_trial = {version: sum(service.ordered_at <= at < switched_at
                                     for at in times)
                        for version, times in arrivals.items()}
            bound = SHARE * sum(on_trial.values()) + SLACK
            print(f"    on trial {on_trial['new']}, allowed {bound:.0f}")
            if on_trial["new"] > bound:
                self.add_problem(f"{service.name}: {on_trial['new']} requests "
                                 f"on trial, {bound:.0f} are allowed")
        elif service.state == "completed" and not self.has_faults:
            # A leader that is killed may not have written the line.
            self.add_problem(f"{service.name}: no log line of its switch")
        self.check_kv_sources(service)

    def find_switch(self, service):
        """Returns the time before the commit of the switch, or None."""
        for member in self.members:
            found = re.search(
                r"time=(\S+) [^\n]*event=rollout_step service=" +
                service.name + r" [^\n]*phase=switching [^\n]*commit_ms=(\d+)",
                self.read_log(member))
            if found:
                at = datetime.datetime.fromisoformat(
                    found.group(1)).timestamp()
                return (time.monotonic() - time.time() + at -
                        int(found.group(2)) / 1000 - 0.02)
        return None

    @property
    def has_faults(self):
        return self.disturb is inject_faults

    @property
    def disturbs_callers(self):
        return self.disturb is not leave_alone

    def check_kv_sources(self, service):
        for endpoint in service.old + service.new:
            for source in filter(None, endpoint.kv_sources):
                address = re.search(r"127\.0\.0\.1:\d+", source)
                version = self.kv_versions.get(address.group(0)) \
                    if address else None
                if version != endpoint.version:
                    self.add_problem(f"{endpoint.name} decoded a prompt of "
                                     f"{source}, which is of {version}")
                    return

    # What disturbs the runs.

    def read_log(self, host):
        path = os.path.join(self.folder, host.name + ".log")
        with open(path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def find_leader(self):
        """Returns the member that says it leads in the highest term."""
        terms = {}
        for member in self.members:
            found = re.findall(r"event=leadership_gained.*?term=(\d+)",
                               self.read_log(member))
            terms[member.name] = max(map(int, found), default=-1)
        return max(self.members, key=lambda member: terms[member.name])

    async def wait_for_phase(self, phase, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if any(re.search(rf"event=rollout_step .*phase={phase}",
                             self.read_log(member))
                   for member in self.members):
                return True
            await asyncio.sleep(0.02)
        return False

    async def kill_leader(self):
        leader = self.find_leader()
        await leader.stop(signal.SIGKILL)
        await asyncio.sleep(0.3)
        await leader.start()


async def leave_alone(run):
    del run


async def kill_leaders(run):
    """Kills the leader in the trial and in the switching phase."""
    for service in run.services:
        for endpoint in service.old:
            endpoint.work_s = (0.01, 0.6)   # The switch takes that long.
        for endpoint in service.new:
            if not service.is_bad:
                endpoint.work_s = (0.01, 0.6)
    await asyncio.sleep(3.0)
    await run.kill_leader()
    if await run.wait_for_phase("switching", DEADLINE_S):
        await run.kill_leader()
    else:
        run.add_problem("no roll-out switched")


async def pause_host(run):
    """Pauses an entry host before the verdict until after it."""
    host = run.entries[0]
    await asyncio.sleep(TARGET_START_S + 0.6)
    host.send(signal.SIGSTOP)
    await run.wait_for_phase("rolled_back", DEADLINE_S)
    await asyncio.sleep(1.0)
    host.send(signal.SIGCONT)


async def restart_members(run):
    """Kills all members once the order was acknowledged, and starts them."""
    while any(service.ordered_at is None for service in run.services):
        await asyncio.sleep(0.02)
    for member in run.members:
        await member.stop(signal.SIGKILL)
    for member in run.members:
        await member.start()


async def inject_faults(run):
    """Stops, pauses and restarts processes and disturbs links, as the soak
    does, from the orders until the end."""
    await run.inject_faults()


# Name of the run: services with what is wrong with their target, and what
# disturbs the run.
RUNS = {
    "versions": ([("good", None), ("at_once", "at_once"), ("later", "later"),
                  ("one_route", "one_route"), ("slow", "slow"),
                  ("llm-good", None), ("llm-bad", "at_once")], leave_alone),
    "leader_killed": ([("good", None), ("later", "later")], kill_leaders),
    "host_paused": ([("bad", "at_once"), ("slow", "slow")], pause_host),
    "faults": ([("good", None), ("at_once", "at_once"), ("later", "later"),
                ("slow", "slow"), ("llm-good", None)], inject_faults),
    "members_restarted": ([("good", None), ("bad", "at_once")],
                          restart_members),
}


def known_problems():
    """Returns the problems of KNOWN-RED.txt, which are printed and no
    failure."""
    path = pathlib.Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
    prefix = "test: rollouts.py "
    lines = path.read_text().splitlines() if path.exists() else []
    return {line.removeprefix(prefix) for line in lines
            if line.startswith(prefix)}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--run", choices=sorted(RUNS), action="append")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--network", default="127.0.40")
    given = parser.parse_args()
    failed = 0
    for seed in range(given.seed, given.seed + given.seeds):
        for name in given.run or [run for run in RUNS if run != "faults"]:
            print(f"{name}, seed {seed}:", flush=True)
            run = RolloutRun(name, seed, given.network)
            asyncio.run(run.run())
            known = known_problems()
            passed = known.issuperset(run.problems)
            for problem in run.problems[:20]:
                print(("  KNOWN RED " if problem in known else "  PROBLEM ") +
                      problem)
            if passed:
                shutil.rmtree(run.folder, ignore_errors=True)
            else:
                failed += 1
                print(f"  logs: {run.folder}")
    print("all runs passed" if not failed else f"{failed} runs failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
