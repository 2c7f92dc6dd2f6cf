"""Measures the resources that a host uses, at several fleet sizes.

capacity.py --what hosts|accounts|changes|endpoints|requests
Prints one JSON line per size: processor time, memory and peer traffic per
host, as counted by the hosts.
"""

import argparse
import json
import pathlib
import statistics
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "harness"))
from fleet import Fleet, Shape, wait_until
from measure import run_load

SETTLE_SECONDS = 8
SAMPLE_SECONDS = 10


def make_shape(hosts=8, accounts=5, endpoints=4, zones=4, first_port=25000,
             plain=True):
    """Returns a fleet of a given size; endpoints are spread over the zones."""
    names = [f"z{number}" for number in range(zones)]
    per_zone = {name: hosts // zones for name in names}
    engines = {name: max(endpoints // zones, 1) for name in names}
    desk = ("desk", {names[0]: 1}, "/book", "/look") if plain else None
    return Shape(per_zone, ("writer", engines, "batch"), desk,
                 {f"account-{number}": (100000, 400000)
                  for number in range(accounts)}, first_port)


def sample(fleet):
    hosts = {item["host"]: item for item in fleet.status()["hosts"]
             if "host" in item}
    return time.monotonic(), hosts


def measure_cost(fleet, work=lambda: time.sleep(SAMPLE_SECONDS)):
    """Returns the cost per host and second while `work` runs: the median and
    the maximum over the hosts."""
    began, before = sample(fleet)
    work()
    ended, after = sample(fleet)
    elapsed_s = ended - began
    cpu, peer_bytes, calls, memory = [], [], [], []
    for name, item in after.items():
        earlier = before[name]
        cpu.append((item["cpu_ms"] - earlier["cpu_ms"]) / elapsed_s / 10)
        traffic, traffic_before = (item["peer_traffic"],
                                   earlier["peer_traffic"])
        peer_bytes.append(
            (traffic["bytes_in"] + traffic["bytes_out"]
             - traffic_before["bytes_in"] - traffic_before["bytes_out"])
            / elapsed_s)
        calls.append(
            (traffic["calls_in"] + traffic["calls_out"]
             - traffic_before["calls_in"] - traffic_before["calls_out"])
            / elapsed_s)
        memory.append(item["peak_kilobytes"] / 1024)
    return {"cpu_percent": [round(statistics.median(cpu), 2),
                            round(max(cpu), 2)],
            "bytes_per_s": [round(statistics.median(peer_bytes)),
                            round(max(peer_bytes))],
            "calls_per_s": [round(statistics.median(calls), 1),
                            round(max(calls), 1)],
            "memory_mb": [round(statistics.median(memory), 1),
                          round(max(memory), 1)]}


def with_fleet(shape, work, keys=False):
    fleet = Fleet(shape)
    try:
        fleet.start(issue_keys=keys)
        time.sleep(SETTLE_SECONDS)
        return work(fleet)
    finally:
        fleet.stop(graceful=False)


def report(**row):
    print(json.dumps(row), flush=True)


def by_hosts(sizes):
    for hosts in sizes:
        row = with_fleet(make_shape(hosts=hosts, plain=False), measure_cost)
        report(what="hosts", hosts=hosts, **row)


def by_accounts(sizes):
    for accounts in sizes:
        row = with_fleet(make_shape(accounts=accounts, plain=False),
                         measure_cost)
        report(what="accounts", accounts=accounts, **row)


def by_endpoints(sizes):
    for endpoints in sizes:
        row = with_fleet(
            make_shape(hosts=4, endpoints=endpoints, plain=False),
            measure_cost)
        report(what="endpoints", endpoints=endpoints, owners=4, **row)


def by_changes(rates):
    """Measures the cost of distributing key changes at a steady rate."""
    def work(fleet, rate):
        def change():
            until = time.monotonic() + SAMPLE_SECONDS
            changes_made = 0
            while time.monotonic() < until:
                fleet.ctl("key", "issue", "account-0", "--wait-ms", "0")
                changes_made += 1
                time.sleep(1 / rate)
            work.changes_made = changes_made
        row = measure_cost(fleet, change)
        row["changes_per_s"] = round(work.changes_made / SAMPLE_SECONDS, 2)
        return row
    for rate in rates:
        row = with_fleet(make_shape(accounts=100, plain=False),
                         lambda fleet: work(fleet, rate))
        report(what="changes", **row)


def by_requests(rates):
    """Measures the cost of short calls at several request rates."""
    for rate in rates:
        def work(fleet):
            for name in fleet.hosts:
                fleet.wait_ready(name)

            class LoadTarget:
                hosts = fleet.hosts
                keys = dict(list(fleet.keys.items())[:5])
                shape = fleet.shape

            def load():
                import measure
                plain = measure.PLAIN_REQUESTS_PER_SECOND
                measure.PLAIN_REQUESTS_PER_SECOND = rate
                try:
                    work.records = run_load(LoadTarget, 0.0001,
                                            SAMPLE_SECONDS, 1, "steady")
                finally:
                    measure.PLAIN_REQUESTS_PER_SECOND = plain
            row = measure_cost(fleet, load)
            answered = [item for item in work.records if item["status"] == 200]
            durations_ms = sorted(item["took_ms"] for item in answered)
            row["requests_per_s"] = len(answered) / SAMPLE_SECONDS
            row["took_p50_ms"] = round(durations_ms[len(durations_ms) // 2], 2)
            row["took_p99_ms"] = round(
                durations_ms[int(len(durations_ms) * 0.99)], 2)
            row["not_answered"] = len(work.records) - len(answered)
            return row
        shape = make_shape(hosts=2, zones=1, endpoints=1)
        shape.service_options = ["--takes-ms", "1"]
        shape.calls = 200
        shape.control = 1
        row = with_fleet(shape, work, keys=True)
        report(what="requests", **row)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--what", default="hosts")
    parser.add_argument("--sizes", default="")
    given = parser.parse_args()
    runs = {"hosts": (by_hosts, "4,8,16,32"),
            "accounts": (by_accounts, "5,200,860"),
            "endpoints": (by_endpoints, "4,16,40"),
            "changes": (by_changes, "0.5,2,4"),
            "requests": (by_requests, "100,300,600")}
    run, sizes = runs[given.what]
    run([float(size) if "." in size else int(size)
         for size in (given.sizes or sizes).split(",")])


if __name__ == "__main__":
    main()
